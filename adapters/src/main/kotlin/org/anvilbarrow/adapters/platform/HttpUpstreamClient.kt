package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.io.IOException
import java.io.InputStream
import java.time.Duration
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException

/**
 * Talks HTTP to upstreams.
 *
 * Lease calls and instructions use separate connections, so that long tasks cannot hold a lease renewal up.
 *
 * ```
 * HttpUpstreamClient().use { upstreams ->
 *     upstreams.requestLease("10.0.0.7:8080", LeaseRequest(self, incarnation, epoch = 0, ttlMillis = 3_000))
 * }
 * ```
 */
public class HttpUpstreamClient(
    private val limits: PlatformClientLimits = PlatformClientLimits(),
) : UpstreamClient,
    AutoCloseable {
    private val calls = JettyTransport("upstream-calls", limits)
    private val tasks = JettyTransport("upstream-tasks", limits)

    /** Not Jetty's threads: bodies that stall would hold all of them. */
    private val bodyReaders = Executors.newCachedThreadPool { Thread(it, "task-body").apply { isDaemon = true } }

    override fun requestLease(
        address: String,
        request: LeaseRequest,
    ): LeaseCallResult {
        val reply =
            calls.call(limits.leaseTimeout, limits.maxLeaseReplyBytes) {
                Request(Method.POST, "http://$address/v1/lease").json(LeaseRequest.serializer(), request)
            }
        return when (reply) {
            is CallReply.NotSent -> LeaseCallResult.Unanswered(reply.detail)
            is CallReply.Unknown -> LeaseCallResult.Unanswered(reply.detail)
            is CallReply.Replied -> leaseResult(reply)
        }
    }

    override fun releaseLease(
        address: String,
        release: LeaseRelease,
    ) {
        calls.call(limits.leaseTimeout, MAX_IGNORED_BYTES) {
            Request(Method.POST, "http://$address/v1/lease/release").json(LeaseRelease.serializer(), release)
        }
    }

    /**
     * Starts the task of [grant] and passes its answer to [onAnswer] as it arrives.
     *
     * [onAnswer] reads the answer to its end; the result is [TaskResult.LOST] if it stops earlier, throws an
     * [IOException] or [start] times out, and also if the reply does not repeat the request id.
     *
     * The body of [start] is read in another thread, so that a caller who stops sending cannot hold this one beyond the
     * timeout. Its first bytes are read before the instruction is sent; the timeout counts once before and once after
     * they have arrived.
     */
    override fun startTask(
        grant: Grant,
        start: TaskStart,
        onAnswer: (TaskAnswer) -> Unit,
    ): TaskResult {
        if (!start.isSendable() || start.timeout <= Duration.ZERO) return TaskResult.NOT_RUN
        return HttpExchange(tasks, start.timeout).use { exchange ->
            when (val sent = exchange.sendInBackground(grant, start)) {
                is Sent.NotSent -> TaskResult.NOT_RUN
                is Sent.MaybeSent -> TaskResult.LOST
                is Sent.Answered -> resultOf(sent.response, start.requestId, onAnswer)
            }
        }
    }

    private fun HttpExchange.sendInBackground(
        grant: Grant,
        start: TaskStart,
    ): Sent =
        try {
            await(bodyReaders.submit(Callable { send(grant, start) }))
        } catch (_: RejectedExecutionException) {
            Sent.NotSent("this client is closed")
        }

    private fun HttpExchange.send(
        grant: Grant,
        start: TaskStart,
    ): Sent {
        val body = start.body.buffered(BUFFER_BYTES)
        if (!body.isReadable()) return Sent.NotSent("the body cannot be read")
        return send(body) { grant.instruction(start).body(body, start.bodyBytes) }
    }

    override fun stopTask(grant: Grant) {
        calls.call(limits.callTimeout, MAX_IGNORED_BYTES, grant::stopRequest)
    }

    override fun close() {
        calls.close()
        tasks.close()
        bodyReaders.shutdownNow()
    }

    private fun leaseResult(reply: CallReply.Replied): LeaseCallResult {
        if (reply.status != STATUS_OK) return LeaseCallResult.Unanswered("the upstream answered ${reply.status}")
        return when (val decoded = reply.decode(LeaseReply.serializer(), ::problemOf)) {
            is DecodedReply.Valid -> LeaseCallResult.Answered(decoded.value)
            is DecodedReply.Malformed -> LeaseCallResult.Unanswered(decoded.detail)
        }
    }

    private fun problemOf(reply: LeaseReply): String? =
        when {
            reply is LeaseReply.Granted && reply.epoch <= 0 -> "the epoch ${reply.epoch} is not positive"
            reply is LeaseReply.Denied && reply.expiresInMillis < 0 -> "the remaining time is negative"
            else -> null
        }

    private fun resultOf(
        response: Response,
        requestId: String,
        onAnswer: (TaskAnswer) -> Unit,
    ): TaskResult =
        when (TaskReply.of(response, requestId)) {
            TaskReply.REFUSED -> TaskResult.NOT_RUN
            TaskReply.FAILED -> TaskResult.FAILED
            TaskReply.UNUSABLE -> TaskResult.LOST
            TaskReply.ANSWER -> passOn(response, onAnswer)
        }

    private fun passOn(
        response: Response,
        onAnswer: (TaskAnswer) -> Unit,
    ): TaskResult {
        val body =
            AnswerBody(
                source = response.body.stream,
                expectedBytes = if (response.status.code == STATUS_NO_CONTENT) 0 else response.contentLength(),
                chunked = response.header("Transfer-Encoding")?.lowercase() == "chunked",
            )
        try {
            onAnswer(TaskAnswer(response.status.code, response.header("Content-Type"), body))
        } catch (_: IOException) {
            return TaskResult.LOST
        }
        return if (body.isWhole) TaskResult.ANSWERED else TaskResult.LOST
    }

    private fun Response.contentLength(): Long? = header("Content-Length")?.toLongOrNull()

    /** Reads ahead, so that a body that cannot be read at all is noticed before the instruction is sent. */
    private fun InputStream.isReadable(): Boolean =
        try {
            mark(1)
            read()
            reset()
            true
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NO_CONTENT = 204

        /** Replies that are not used are read up to this length, so that their connections can be used again. */
        const val MAX_IGNORED_BYTES = 4096
    }
}
