package org.anvilbarrow.standins.log

import org.anvilbarrow.protocol.log.AppendReply
import org.anvilbarrow.protocol.log.AppendRequest
import org.anvilbarrow.protocol.log.RecordsPage
import org.anvilbarrow.standins.http.ConnectionFaults
import org.anvilbarrow.standins.http.StandInServer
import org.anvilbarrow.standins.http.error
import org.anvilbarrow.standins.http.faultRoutes
import org.anvilbarrow.standins.http.json
import org.anvilbarrow.standins.http.withJson
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.time.InstantSource

/**
 * The platform's log on a loopback port: a [LogModel] behind HTTP.
 *
 * `POST /v1/log/append` answers 429 with `Retry-After` over the append rate. `GET /v1/log/records?from=N` answers 410
 * with an empty page that names the first retained offset when `N` is no longer kept. `PUT /v1/faults` takes
 * [ConnectionFaults]; it also works on [controlPort].
 *
 * @param port the port to listen on, or 0 for any free port
 */
public class LogStandIn(
    settings: LogSettings = LogSettings(),
    port: Int = 0,
    clock: InstantSource = InstantSource.system(),
) : AutoCloseable {
    /** The records of this log. */
    public val model: LogModel = LogModel(settings, clock)

    private val server =
        StandInServer(
            port = port,
            name = "log",
            routes =
                routes(
                    faultRoutes(ConnectionFaults.serializer(), { faults }, ::apply),
                    "/v1/log/append" bind Method.POST to ::append,
                    "/v1/log/records" bind Method.GET to ::read,
                ),
        )

    /** Faults that are in force. */
    @Volatile
    public var faults: ConnectionFaults = ConnectionFaults()
        private set

    /** Port on which the faults can be reached while the data port refuses connections. */
    public val controlPort: Int get() = server.controlPort

    /** Starts serving and returns the port. */
    public fun start(): Int = server.start()

    /** Puts [next] in force and returns null, or returns why that is not possible. */
    public fun apply(next: ConnectionFaults): String? = server.apply(next).also { if (it == null) faults = next }

    override fun close(): Unit = server.close()

    private fun append(request: Request): Response =
        request.withJson(AppendRequest.serializer(), MAX_APPEND_BYTES) {
            when (val decision = model.append(it.payloads)) {
                is AppendDecision.Appended -> json(AppendReply.serializer(), AppendReply(decision.firstOffset))

                is AppendDecision.Invalid -> error(Status.BAD_REQUEST, decision.detail)

                is AppendDecision.OverRate -> {
                    val seconds = decision.retryAfter.plusSeconds(1).toSeconds()
                    error(Status.TOO_MANY_REQUESTS, "the append rate is exceeded").header("Retry-After", "$seconds")
                }
            }
        }

    private fun read(request: Request): Response {
        val from = request.query("from")?.toLongOrNull()?.takeIf { it >= 0 }
        if (from == null) return error(Status.BAD_REQUEST, "the parameter from is not an offset")
        return when (val decision = model.read(from)) {
            is ReadDecision.Page -> json(RecordsPage.serializer(), decision.page)
            is ReadDecision.TooFarBehind -> json(RecordsPage.serializer(), decision.page, Status.GONE)
        }
    }

    private companion object {
        const val MAX_APPEND_BYTES = 4 * 1024 * 1024
    }
}
