package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.upstream.TaskHeaders
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.toPathSegmentEncoded

private const val TRACEPARENT = "traceparent"

/** The form of version 00 of the W3C Trace Context; other values are not sent on. */
private val traceparentForm = Regex("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

/** Returns false if no header can carry the values of this start. */
internal fun TaskStart.isSendable(): Boolean = requestId.isHeaderValue() && workload.isHeaderValue()

/** Returns the instruction to start the task of this grant, without its body. */
internal fun Grant.instruction(start: TaskStart): Request {
    val request =
        taskRequest("")
            .header(TaskHeaders.START_BY_MILLIS, startByUpstreamMillis.toString())
            .header(TaskHeaders.WORKLOAD, start.workload)
            .header(TaskHeaders.REQUEST_ID, start.requestId)
            .header(TaskHeaders.RESOURCES, strictJson.encodeToString(Resources.serializer(), resources))
            .header("Content-Type", "application/octet-stream")
    val traceparent = start.traceparent?.takeIf(traceparentForm::matches)
    return if (traceparent == null) request else request.header(TRACEPARENT, traceparent)
}

/** Returns the request to stop the task of this grant. */
internal fun Grant.stopRequest(): Request = taskRequest("/stop")

private fun Grant.taskRequest(action: String): Request =
    Request(Method.POST, "http://$address/v1/tasks/${task.value.toPathSegmentEncoded()}$action")
        .header(TaskHeaders.LEASE_EPOCH, leaseEpoch.toString())
        .header(TaskHeaders.UPSTREAM_INCARNATION, upstreamIncarnation.toString())

/** Spaces, commas and quotes do not survive the list syntax by which HTTP libraries split header values. */
private fun String.isHeaderValue(): Boolean = isNotEmpty() && all { it in '!'..'~' && it != ',' && it != '"' }
