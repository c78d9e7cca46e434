package org.anvilbarrow.adapters.platform

import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler
import org.eclipse.jetty.client.RedirectProtocolHandler
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.util.ssl.SslContextFactory
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.client.JettyClient
import org.http4k.core.BodyMode
import org.http4k.core.Request
import org.http4k.core.Response
import java.net.URI
import java.time.Duration
import org.eclipse.jetty.client.Request as JettyRequest

/** Length of every buffer between a connection and a stream, in bytes. */
internal const val BUFFER_BYTES: Int = 16 * 1024

/**
 * One pool of Jetty connections, used through http4k's Jetty client.
 *
 * http4k's client streams and honours a request's total timeout. These things had to be set on Jetty itself:
 * - Redirects and authentication are switched off, as both send a request again.
 * - Decoding of compressed answers is switched off, so that a small answer cannot become a large one.
 * - http4k's handler takes listeners and timeouts only for all requests, so every request gets a handler of its own
 *   over the same pool; such a handler is one small object.
 */
internal class JettyTransport(
    name: String,
    limits: PlatformClientLimits,
) : AutoCloseable {
    private val client = HttpClient(HttpClientTransportOverHTTP(connector(name, limits)))

    /** http4k starts a stopped Jetty client again. */
    @Volatile
    private var closed = false

    init {
        client.isFollowRedirects = false
        client.httpCookieStore = HttpCookieStore.Empty()
        client.maxConnectionsPerDestination = limits.maxConnectionsPerAddress
        client.maxResponseHeadersSize = MAX_HEADER_BYTES
        client.requestBufferSize = BUFFER_BYTES
        client.responseBufferSize = BUFFER_BYTES
        client.destinationIdleTimeout = DESTINATION_IDLE.toMillis()
        client.start()
        client.contentDecoderFactories.clear()
        listOf(
            RedirectProtocolHandler.NAME,
            WWWAuthenticationProtocolHandler.NAME,
            ProxyAuthenticationProtocolHandler.NAME,
        ).forEach(client.protocolHandlers::remove)
    }

    /** Sends [request] as [prepare] completes it, and returns once the head of the answer has arrived. */
    fun send(
        request: Request,
        prepare: (JettyRequest) -> JettyRequest,
    ): Response {
        check(!closed) { "the client is closed" }
        return JettyClient(client, BodyMode.Stream, prepare)(request)
    }

    /** Returns a request that Jetty sends without blocking a thread. */
    fun newRequest(uri: URI): JettyRequest {
        check(!closed) { "the client is closed" }
        return client.newRequest(uri)
    }

    override fun close() {
        closed = true
        client.stop()
    }

    /** Calls are plain HTTP; the default factory reads the trust store, a fifth of the time to start a process. */
    private class PlainConnector : ClientConnector() {
        override fun newSslContextFactory(): SslContextFactory.Client =
            object : SslContextFactory.Client() {
                override fun doStart(): Unit = Unit

                override fun doStop(): Unit = Unit
            }
    }

    private companion object {
        /** Longest head of an answer, in bytes. */
        const val MAX_HEADER_BYTES = 16 * 1024
        const val MAX_THREADS = 256
        const val MIN_THREADS = 2
        const val SELECTORS = 1
        val DESTINATION_IDLE: Duration = Duration.ofMinutes(1)

        fun connector(
            name: String,
            limits: PlatformClientLimits,
        ) = PlainConnector().apply {
            selectors = SELECTORS
            executor =
                QueuedThreadPool(MAX_THREADS, MIN_THREADS).also {
                    it.name = name
                    it.isDaemon = true
                }
            connectTimeout = limits.connectTimeout
            idleTimeout = limits.idleTimeout
        }
    }
}
