package org.anvilbarrow.adapters.resources

import org.anvilbarrow.kernel.catalog.CatalogLimits
import org.anvilbarrow.kernel.catalog.ResourceKind
import org.anvilbarrow.kernel.catalog.find
import org.anvilbarrow.kernel.catalog.list
import org.anvilbarrow.protocol.log.SnapshotObject
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.resources.FieldFault
import org.anvilbarrow.protocol.resources.ResourceErrorCode
import org.anvilbarrow.protocol.resources.ResourceList
import org.anvilbarrow.protocol.resources.ResourceProblem
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import java.time.InstantSource
import java.util.UUID
import java.util.concurrent.Semaphore

/**
 * The resource interface over HTTP; see `docs/interface.md`.
 *
 * ```
 * val resources = ResourceRoutes(changes, view, clock)
 * val server = CallerRoutes(work, readiness, metrics, more = resources.routes)
 * resources.close() // ends the watches before the server stops
 * ```
 */
public class ResourceRoutes(
    private val changes: ChangeService,
    private val view: CatalogView,
    private val clock: InstantSource,
    private val limits: ResourceLimits = ResourceLimits(),
) : AutoCloseable {
    private val freeWatches = Semaphore(limits.maxWatches)

    @Volatile
    private var stopping = false

    /** The routes, in the order in which they have to be tried. */
    public val routes: List<RoutingHttpHandler> =
        listOf(
            "/v1/watch" bind Method.GET to ::watch,
            "/v1/upstreams/{name}/drain" bind Method.POST to { drain(it, true) },
            "/v1/upstreams/{name}/undrain" bind Method.POST to { drain(it, false) },
            "/v1/{kind}" bind Method.GET to { withKind(it, ::list) },
            "/v1/{kind}/{name}" bind Method.GET to { withKind(it, ::get) },
            "/v1/{kind}/{name}" bind Method.PUT to { withKind(it, ::put) },
            "/v1/{kind}/{name}" bind Method.DELETE to { withKind(it, ::delete) },
        )

    /** Ends the watches. */
    override fun close() {
        stopping = true
    }

    private fun withKind(
        request: Request,
        handle: (Request, ResourceKind) -> Response,
    ): Response {
        val plural = request.path("kind").orEmpty()
        val kind = ResourceKind.ofPlural(plural)
        val known = ResourceKind.entries.map { it.plural }
        return if (kind == null) notFound("kind \"$plural\" is none of $known") else handle(request, kind)
    }

    private fun get(
        request: Request,
        kind: ResourceKind,
    ): Response {
        val name = request.path("name").orEmpty()
        val catalog = view.refreshed().catalog
        val found = catalog.find(kind, name)
        return when {
            !catalog.current -> notCurrent()
            found == null -> notFound("${kind.label} \"$name\" does not exist")
            else -> documentResponse(SnapshotObject(kind.label, name, found.version, found.spec))
        }
    }

    private fun list(
        request: Request,
        kind: ResourceKind,
    ): Response {
        val catalog = view.refreshed().catalog
        val selectors = Selectors.of(kind, request)
        return when {
            !catalog.current -> notCurrent()
            selectors.faults.isNotEmpty() -> invalid(selectors.faults)
            else -> {
                val objects = catalog.list(kind).map(ResourceJson::document).filter(selectors::match)
                json(Status.OK, ResourceList.serializer(), ResourceList(kind.label, catalog.appliedOffset, objects))
            }
        }
    }

    private fun put(
        request: Request,
        kind: ResourceKind,
    ): Response {
        val body = request.body.stream.readNBytes(limits.maxBodyBytes + 1)
        if (body.size > limits.maxBodyBytes) {
            val size = "at least ${body.size} bytes"
            return invalid(listOf(FieldFault("body", size, "at most ${limits.maxBodyBytes} bytes")))
        }
        return when (val decoded = ResourceJson.decode(kind, body.decodeToString())) {
            is DecodedSpec.Faulty -> invalid(decoded.faults)
            is DecodedSpec.Valid -> change(request, kind, decoded.spec)
        }
    }

    private fun delete(
        request: Request,
        kind: ResourceKind,
    ): Response = change(request, kind, null)

    private fun change(
        request: Request,
        kind: ResourceKind,
        spec: ResourceSpec?,
    ): Response {
        val name = request.path("name").orEmpty()
        val condition = Condition.of(request)
        val faults = condition.faults + changeIdFaults(request)
        if (faults.isNotEmpty()) return invalid(faults)
        val change = ChangeRequest(changeId(request), kind, name, spec, condition.expectedVersion)
        return changeResponse(change, changes.change(change))
    }

    private fun drain(
        request: Request,
        draining: Boolean,
    ): Response {
        val faults = changeIdFaults(request)
        if (faults.isNotEmpty()) return invalid(faults)
        val name = request.path("name").orEmpty()
        val change = ChangeRequest(changeId(request), ResourceKind.UPSTREAM, name, null)
        return changeResponse(change, changes.drain(change.changeId, name, draining))
    }

    private fun watch(request: Request): Response {
        val text = request.query("from").orEmpty()
        val from = text.toLongOrNull()?.takeIf { it >= 0 }
        if (from == null) return invalid(listOf(FieldFault("from", text, "a version, for example 0")))
        view.refreshed()
        val oldest = (view.eventsFrom(from) as? WatchedEvents.TooOld)?.firstVersion
        return when {
            oldest != null -> problem(Status.GONE, tooOld(from, oldest))
            !freeWatches.tryAcquire() -> refused("${limits.maxWatches} watches are open already", limits.retryAfter)
            else -> watchResponse(from)
        }
    }

    private fun watchResponse(from: Long): Response {
        val stream = WatchStream(view, from, clock, limits, { stopping }, freeWatches::release)
        return Response(Status.OK).header("Content-Type", "application/x-ndjson").body(Body(stream))
    }

    private fun tooOld(
        from: Long,
        oldest: Long,
    ) = ResourceProblem(
        ResourceErrorCode.TOO_OLD,
        "events from version $from on are no longer kept; list again and watch from the list's version",
        listOf(FieldFault("from", "$from", "at least $oldest")),
    )

    private fun notCurrent() = refused("the catalog is not current yet", limits.retryAfter)

    private fun changeId(request: Request) = request.header(CHANGE_ID) ?: UUID.randomUUID().toString()

    private fun changeIdFaults(request: Request): List<FieldFault> {
        val id = request.header(CHANGE_ID) ?: return emptyList()
        val max = CatalogLimits.MAX_CHANGE_ID_LENGTH
        return if (id.length in
            1..max
        ) {
            emptyList()
        } else {
            listOf(FieldFault(CHANGE_ID, id.take(max), "1 to $max characters"))
        }
    }

    private companion object {
        const val CHANGE_ID = "Change-Id"
    }
}
