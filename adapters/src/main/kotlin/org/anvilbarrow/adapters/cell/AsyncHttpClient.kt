package org.anvilbarrow.adapters.cell

import org.anvilbarrow.adapters.platform.JettyTransport
import org.anvilbarrow.adapters.platform.PlatformClientLimits
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.Result
import java.net.URI
import java.net.URISyntaxException
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** One HTTP call. */
public class HttpCall(
    public val method: String,
    public val url: String,
    /** Longest time from sending to the end of the answer; the connection is closed when it runs out. */
    public val timeout: Duration,
    public val contentType: String? = null,
    public val body: ByteArray? = null,
    public val headers: Map<String, String> = emptyMap(),
    public val maxReplyBytes: Int = MAX_REPLY_BYTES,
) {
    private companion object {
        /** Four times the longest page of the store. */
        const val MAX_REPLY_BYTES = 4 * 1024 * 1024
    }
}

/** What became of an [HttpCall]. */
public sealed interface HttpReply {
    /** The whole answer arrived. */
    public class Replied(
        public val status: Int,
        public val body: ByteArray,
    ) : HttpReply

    /** No usable answer arrived; the call may have had its effect. */
    public data class NoAnswer(
        val detail: String,
    ) : HttpReply
}

/** Makes HTTP calls without a thread for each of them. */
public class AsyncHttpClient(
    name: String,
    limits: PlatformClientLimits = PlatformClientLimits(),
) : AutoCloseable {
    private val transport = JettyTransport(name, limits)

    /**
     * Sends [call] once; the result never completes exceptionally.
     *
     * A caller that waits for a result which never comes would wait for ever, so whatever Jetty throws is a result.
     */
    @Suppress("TooGenericExceptionCaught")
    public fun send(call: HttpCall): CompletableFuture<HttpReply> {
        val reply = CompletableFuture<HttpReply>()
        try {
            send(call, reply)
        } catch (e: URISyntaxException) {
            reply.complete(HttpReply.NoAnswer("'${call.url}' is no URL: ${e.message}"))
        } catch (e: RuntimeException) {
            reply.complete(HttpReply.NoAnswer(e.toString()))
        }
        return reply
    }

    private fun send(
        call: HttpCall,
        reply: CompletableFuture<HttpReply>,
    ) {
        val uri = URI(call.url)
        val request =
            transport
                .newRequest(uri)
                .method(call.method)
                .timeout(call.timeout.toMillis(), TimeUnit.MILLISECONDS)
        call.headers.forEach { (name, value) -> request.headers { it.put(name, value) } }
        call.body?.let { request.body(BytesRequestContent(call.contentType, it)) }
        request.send(
            object : BufferingResponseListener(call.maxReplyBytes) {
                override fun onComplete(result: Result) {
                    reply.complete(replyOf(result, content ?: ByteArray(0)))
                }
            },
        )
    }

    private fun replyOf(
        result: Result,
        content: ByteArray,
    ): HttpReply =
        if (result.isFailed) {
            HttpReply.NoAnswer(result.failure.toString())
        } else {
            HttpReply.Replied(result.response.status, content)
        }

    override fun close(): Unit = transport.close()
}
