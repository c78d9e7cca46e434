package org.anvilbarrow.standins.http

import kotlinx.serialization.KSerializer
import org.http4k.core.Method
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/** `GET` and `PUT /v1/faults`; [put] returns why the faults cannot be put in force, or null. */
internal fun <F> faultRoutes(
    serializer: KSerializer<F>,
    get: () -> F,
    put: (F) -> String?,
): RoutingHttpHandler =
    "/v1/faults" bind
        routes(
            Method.GET to { json(serializer, get()) },
            Method.PUT to { request ->
                request.withJson(serializer) { faults ->
                    put(faults)?.let { error(Status.CONFLICT, it) } ?: json(serializer, get())
                }
            },
        )
