package org.anvilbarrow.standins.http

import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kJettyHttpHandler
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * Serves [routes] on a loopback data port and on a control port, and applies [ConnectionFaults] to the data port.
 *
 * Jetty is configured directly and not by http4k's `Jetty` class, which gives no access to single connections.
 */
internal class StandInServer(
    port: Int,
    name: String,
    routes: HttpHandler,
) : AutoCloseable {
    private val silentConnections = SilentConnections()
    private val server = Server(threadPool(name))
    private val data = connector(port)
    private val control = connector(0)

    @Volatile
    private var faults = ConnectionFaults()

    init {
        server.addConnector(data)
        server.addConnector(control)
        server.handler = FaultHandler(Http4kJettyHttpHandler(routes), data, silentConnections) { faults }
    }

    val port: Int get() = data.port

    val controlPort: Int get() = control.localPort

    fun start(): Int {
        server.start()
        data.port = data.localPort
        return data.port
    }

    /** Puts [next] in force, or returns why that is not possible. */
    @Synchronized
    fun apply(next: ConnectionFaults): String? {
        if (next.silent == SilentMode.OPEN_CONNECTIONS) data.connectedEndPoints.forEach(silentConnections::add)
        val listen = next.down != DownMode.REFUSE
        return try {
            if (listen && !data.isRunning) data.start()
            if (!listen && data.isRunning) stopListening()
            faults = next
            null
        } catch (e: IOException) {
            "port ${data.port} cannot be opened or closed: ${e.message}"
        }
    }

    /** Closes every connection to the data port, as the restart of a machine does. */
    fun closeConnections(): Unit = data.connectedEndPoints.forEach { it.close() }

    override fun close() {
        silentConnections.close()
        server.stop()
    }

    /** A blocked acceptor can take one more connection after the stop, which would then stay silent. */
    private fun stopListening() {
        data.stop()
        repeat(MAX_PROBES) { if (refusesConnections()) return }
        throw IOException("the port still accepts connections")
    }

    private fun refusesConnections(): Boolean =
        try {
            Socket().use { it.connect(InetSocketAddress(LOOPBACK, data.port), PROBE_MILLIS) }
            false
        } catch (_: ConnectException) {
            true
        } catch (_: IOException) {
            false
        }

    private fun connector(port: Int): ServerConnector {
        val http = HttpConnectionFactory(HttpConfiguration().apply { sendServerVersion = false })
        return ServerConnector(server, ACCEPTORS, SELECTORS, http).apply {
            host = LOOPBACK
            this.port = port
            idleTimeout = NO_IDLE_TIMEOUT
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val ACCEPTORS = 1
        const val SELECTORS = 1

        /** A task may run for hours before the first byte of its answer. */
        const val NO_IDLE_TIMEOUT = 0L

        /** Every running task holds a thread; the stand-in does not refuse an overfill of its 64 connections. */
        const val MAX_THREADS = 512
        const val MIN_THREADS = 4
        const val MAX_PROBES = 100
        const val PROBE_MILLIS = 100

        fun threadPool(name: String) =
            QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply {
                this.name = name
                isDaemon = true
            }
    }
}
