package org.anvilbarrow.adapters.http

import io.github.oshai.kotlinlogging.KotlinLogging
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.server.handler.GracefulHandler
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeoutException

private val log = KotlinLogging.logger("anvilbarrow.http")

/** Serves [handler] over HTTP/1.1 on Jetty at [address] and at [more]. */
public class CallerServer(
    private val address: InetSocketAddress,
    private val handler: HttpHandler,
    private val limits: CallerLimits = CallerLimits(),
    private val more: List<InetSocketAddress> = emptyList(),
) : AutoCloseable {
    private val server = server()

    /** Starts to listen and returns the port. */
    public fun start(): Int {
        server.start()
        return (server.connectors.first() as ServerConnector).localPort
    }

    /** Accepts no more connections and waits up to [grace] for the exchanges in flight; returns true if all ended. */
    public fun stop(grace: Duration): Boolean {
        server.stopTimeout = grace.toMillis()
        return try {
            server.stop()
            true
        } catch (e: TimeoutException) {
            log.warn { "Exchanges at $address were still open after $grace: ${e.message}." }
            false
        }
    }

    override fun close() {
        stop(Duration.ofMillis(server.stopTimeout))
    }

    private fun server(): Server {
        val threads = QueuedThreadPool(limits.maxExchanges + SPARE_THREADS, MIN_THREADS, THREAD_IDLE_MILLIS)
        threads.name = "caller"
        val jetty = Server(threads)
        val http =
            HttpConfiguration().apply {
                sendServerVersion = false
                requestHeaderSize = CallerLimits.MAX_HEAD_BYTES
                outputBufferSize = CallerLimits.BUFFER_BYTES
                uriCompliance = UriCompliance.DEFAULT
            }
        (listOf(address) + more).forEach {
            val connector = ServerConnector(jetty, ACCEPTORS, SELECTORS, HttpConnectionFactory(http))
            connector.host = it.hostString
            connector.port = it.port
            connector.idleTimeout = limits.idleTimeout.toMillis()
            jetty.addConnector(connector)
        }
        jetty.handler = GracefulHandler(StreamingHandler(handler))
        return jetty
    }

    private companion object {
        /** Threads for Jetty's own acceptor and selector, probes and operators beside the open exchanges. */
        const val SPARE_THREADS = 24
        const val MIN_THREADS = 8
        const val THREAD_IDLE_MILLIS = 10_000
        const val ACCEPTORS = 1
        const val SELECTORS = 1
    }
}
