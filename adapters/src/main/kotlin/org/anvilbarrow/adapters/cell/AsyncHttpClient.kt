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

/** A single HTTP request. */
public class HttpCall(
    public val method: String,
    public val url: String,
    /** Maximum time from sending to the end of the response; the connection is closed on a timeout. */
    public val timeout: Duration,
    public val contentType: String? = null,
    public val body: ByteArray? = null,
    public val headers: Map<String, String> = emptyMap(),
    public val maxReplyBytes: Int = MAX_REPLY_BYTES,
) {
    private companion object {
        /** Four times the largest page that the store returns. */
        const val MAX_REPLY_BYTES = 4 * 1024 * 1024
    }
}

/** Result of an [HttpCall]. */
public sealed interface HttpReply {
    /** A complete response arrived, with any status. */
    public class Replied(
        public val status: Int,
        public val body: ByteArray,
    ) : HttpReply

    /** No complete response arrived; the call may still have taken effect. */
    public data class NoAnswer(
        val detail: String,
    ) : HttpReply
}

/** Sends HTTP calls without blocking a thread per call. */
public class AsyncHttpClient(
    name: String,
    limits: PlatformClientLimits = PlatformClientLimits(),
) : AutoCloseable {
    private val transport = JettyTransport(name, limits)

    /**
     * Sends [call] once; the result never completes exceptionally.
     *
     * Every exception that Jetty throws is turned into a result, as the result would otherwise never complete.
     */
    @Suppress("TooGenericExceptionCaught")
    public fun send(call: HttpCall): CompletableFuture<HttpReply> {
        val reply = CompletableFuture<HttpReply>()
        try {
            send(call, reply)
        } catch (e: URISyntaxException) {
            reply.complete(HttpReply.NoAnswer("'${call.url}' is not a valid URL: ${e.message}"))
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
