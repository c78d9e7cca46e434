package org.anvilbarrow.standins.upstream

import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.Jetty
import org.http4k.server.asServer
import java.time.InstantSource

/** An upstream on a loopback port. */
public class UpstreamStandIn(
    private val settings: UpstreamSettings = UpstreamSettings(),
    private val port: Int = 0,
    private val clock: InstantSource = InstantSource.system(),
) : AutoCloseable {
    private val routes: HttpHandler = { Response(Status.NOT_FOUND) }
    private var server: Http4kServer? = null

    /** Starts serving and returns the port. */
    public fun start(): Int {
        val started = routes.asServer(Jetty(port)).start()
        server = started
        return started.port()
    }

    override fun close() {
        server?.stop()
    }
}
