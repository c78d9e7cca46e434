package org.anvilbarrow.standins.upstream

import org.anvilbarrow.standins.http.StandInServer
import org.anvilbarrow.standins.http.faultRoutes
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.time.InstantSource
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.random.RandomGenerator

/**
 * An upstream on a loopback port: an [UpstreamModel] behind the HTTP interface of section 9 of the design page.
 *
 * Besides that interface it has `PUT /v1/faults` with [UpstreamFaults], `GET /v1/audit` with [UpstreamAudit] and
 * `POST /v1/restart`. These also work on [controlPort].
 *
 * @param port the port to listen on, or 0 for any free port
 * @param clock the upstream's own clock
 */
public class UpstreamStandIn(
    settings: UpstreamSettings = UpstreamSettings(),
    port: Int = 0,
    clock: InstantSource = InstantSource.system(),
) : AutoCloseable {
    private val incarnations = RandomGenerator.getDefault()
    private val tasks = TaskRunner()
    private val orphanTimer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }

    /** The rules and the state of this upstream. */
    public val model: UpstreamModel = UpstreamModel(settings, nextIncarnation(), clock, tasks::stop)

    private val server =
        StandInServer(
            port = port,
            name = "upstream",
            routes =
                routes(
                    faultRoutes(UpstreamFaults.serializer(), { faults }, ::apply),
                    "/v1/restart" bind Method.POST to {
                        restart()
                        Response(Status.NO_CONTENT)
                    },
                    upstreamRoutes(model, tasks, settings),
                ),
        )

    /** Faults that are in force. */
    @Volatile
    public var faults: UpstreamFaults = UpstreamFaults()
        private set

    /** Port on which the faults and the audit can be reached while the data port refuses connections. */
    public val controlPort: Int get() = server.controlPort

    /** Starts serving and returns the port. */
    public fun start(): Int {
        orphanTimer.scheduleWithFixedDelay(
            model::stopOrphans,
            ORPHAN_CHECK_MILLIS,
            ORPHAN_CHECK_MILLIS,
            TimeUnit.MILLISECONDS,
        )
        return server.start()
    }

    /** Puts [next] in force and returns null, or returns why that is not possible. */
    public fun apply(next: UpstreamFaults): String? =
        server.apply(next.connection).also { problem ->
            if (problem == null) {
                tasks.failTasks = next.failTasks
                model.leaving = next.leaving
                faults = next
            }
        }

    /** Restarts the upstream under a new incarnation; its tasks and its connections end. */
    public fun restart() {
        server.closeConnections() // First, so that tasks cannot answer that they were stopped.
        model.restart(nextIncarnation())
        model.leaving = faults.leaving
    }

    override fun close() {
        orphanTimer.shutdownNow()
        server.close()
    }

    private fun nextIncarnation(): Long = incarnations.nextLong(1, Long.MAX_VALUE)

    private companion object {
        const val ORPHAN_CHECK_MILLIS = 100L
    }
}
