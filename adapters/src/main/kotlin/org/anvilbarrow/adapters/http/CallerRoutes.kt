package org.anvilbarrow.adapters.http

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.Semaphore

private val log = KotlinLogging.logger("anvilbarrow.caller")

/**
 * The HTTP interface of a scheduler to callers and probes.
 *
 * [more] holds further routes, for example those of the resource interface:
 * ```
 * CallerRoutes(work, readiness, metrics, limits, more = resourceRoutes).handler()
 * ```
 */
public class CallerRoutes(
    private val work: WorkHandler,
    private val readiness: Readiness,
    private val metrics: MetricsText,
    private val limits: CallerLimits = CallerLimits(),
    private val more: List<RoutingHttpHandler> = emptyList(),
) {
    private val check = RequestCheck(limits)
    private val free = Semaphore(limits.maxExchanges)

    /** Returns all routes as one handler. */
    public fun handler(): HttpHandler {
        val own =
            listOf(
                "/v1/workloads/{name}/requests" bind Method.POST to ::request,
                "/health" bind Method.GET to { text(Status.OK, "alive\n") },
                "/ready" bind Method.GET to { ready() },
                "/metrics" bind Method.GET to
                    { Response(Status.OK).header("Content-Type", MetricsText.CONTENT_TYPE).body(metrics.render()) },
            )
        return routes(own + more)
    }

    private fun ready(): Response =
        when (val reason = readiness.notReadyBecause()) {
            null -> text(Status.OK, "ready\n")
            else -> text(Status.SERVICE_UNAVAILABLE, "not ready: $reason\n")
        }

    private fun text(
        status: Status,
        body: String,
    ) = Response(status).header("Content-Type", "text/plain; charset=utf-8").body(body)

    private fun request(request: Request): Response =
        when (val checked = check.check(request.path("name").orEmpty(), request)) {
            is CheckedRequest.Faulty -> faultResponse(checked.status, checked.error, checked.faults)
            is CheckedRequest.Accepted -> admit(checked, request)
        }

    private fun admit(
        checked: CheckedRequest.Accepted,
        request: Request,
    ): Response {
        if (!free.tryAcquire()) return outcomeResponse(full())
        var streaming = false
        try {
            val answer = work.handle(checked.request, RequestBody(request.body.stream, checked.request.bodyBytes))
            streaming = answer is CallerAnswer.Streamed
            return when (answer) {
                is CallerAnswer.Final -> outcomeResponse(answer.outcome)
                is CallerAnswer.Streamed -> streamed(answer)
            }
        } finally {
            if (!streaming) free.release()
        }
    }

    private fun streamed(answer: CallerAnswer.Streamed): Response =
        Response(Status(answer.status, null))
            .header(CallerHeaders.OUTCOME, "answered")
            .header("Content-Type", answer.contentType ?: "application/octet-stream")
            .body(StreamedBody(answer.body, onCallerGone = { gone(answer) }, onClosed = free::release))

    private fun gone(answer: CallerAnswer.Streamed) {
        log.info { "The caller of exchange ${answer.exchange} left before the end of its answer." }
        work.callerGone(answer)
    }

    private fun full(): Outcome.Refused =
        Outcome.Refused(
            RefusalReason.QUEUE_FULL,
            CallerLimits.FULL_RETRY_MILLIS,
            "this scheduler already has ${limits.maxExchanges} requests open",
        )
}
