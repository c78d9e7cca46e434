package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.upstream.StartRefusal
import org.anvilbarrow.protocol.upstream.TaskHeaders
import org.http4k.core.Response

/** What the head of a reply to an instruction says. */
internal enum class TaskReply {
    /** The task did not run. */
    REFUSED,

    /** The task ran and failed. */
    FAILED,

    /** The task's own answer follows. */
    ANSWER,

    /** It cannot be told whether the task ran. */
    UNUSABLE,
    ;

    companion object {
        private const val FIRST_ERROR_STATUS = 400
        private const val FIRST_FAILURE_STATUS = 500

        /**
         * Reads the head of [response] to an instruction for [requestId].
         *
         * An upstream repeats the request id in every reply; a reply without it comes from something else, for example
         * a server that is out of threads. A task that the upstream knows already may be running.
         */
        fun of(
            response: Response,
            requestId: String,
        ): TaskReply {
            val refusal = response.header(TaskHeaders.NOT_RUN)
            val status = response.status.code
            return when {
                response.headerValues(TaskHeaders.REQUEST_ID).joinToString(",") != requestId -> UNUSABLE
                refusal == StartRefusal.TASK_KNOWN.code -> UNUSABLE
                refusal != null -> if (status >= FIRST_ERROR_STATUS) REFUSED else UNUSABLE
                status >= FIRST_FAILURE_STATUS -> FAILED
                else -> ANSWER
            }
        }
    }
}
