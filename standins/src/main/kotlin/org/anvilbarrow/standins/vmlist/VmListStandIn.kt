package org.anvilbarrow.standins.vmlist

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.standins.http.ConnectionFaults
import org.anvilbarrow.standins.http.StandInServer
import org.anvilbarrow.standins.http.faultRoutes
import org.anvilbarrow.standins.http.json
import org.anvilbarrow.standins.http.withJson
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.time.InstantSource

/** Body of `PUT /v1/vms/{name}`, for example `{"state": "LEAVING"}`. */
@Serializable
public data class VmStateChange(
    val state: VmState,
)

/**
 * The platform's VM list on a loopback port: a [VmListModel] behind `GET /v1/vms`.
 *
 * `PUT /v1/vms/{name}` with a [VmStateChange] and `DELETE /v1/vms/{name}` change a VM. `PUT /v1/faults` takes
 * [ConnectionFaults]; it also works on [controlPort].
 *
 * @param port the port to listen on, or 0 for any free port
 */
public class VmListStandIn(
    settings: VmListSettings = VmListSettings(),
    port: Int = 0,
    clock: InstantSource = InstantSource.system(),
) : AutoCloseable {
    /** The VMs of this list. */
    public val model: VmListModel = VmListModel(settings, clock)

    private val server =
        StandInServer(
            port = port,
            name = "vm-list",
            routes =
                routes(
                    faultRoutes(ConnectionFaults.serializer(), { faults }, ::apply),
                    "/v1/vms" bind Method.GET to { json(ListSerializer(VmEntry.serializer()), model.list()) },
                    "/v1/vms/{name}" bind
                        routes(
                            Method.PUT to ::set,
                            Method.DELETE to ::remove,
                        ),
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

    private fun set(request: Request): Response =
        request.withJson(VmStateChange.serializer()) {
            model.set(request.path("name").orEmpty(), it.state)
            Response(Status.NO_CONTENT)
        }

    private fun remove(request: Request): Response {
        model.set(request.path("name").orEmpty(), null)
        return Response(Status.NO_CONTENT)
    }
}
