package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.protocol.upstream.TaskHeaders
import org.anvilbarrow.standins.http.error
import org.anvilbarrow.standins.http.json
import org.anvilbarrow.standins.http.withJson
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes

/** The HTTP interface of an upstream, over [model]. */
internal fun upstreamRoutes(
    model: UpstreamModel,
    tasks: TaskRunner,
    settings: UpstreamSettings,
): RoutingHttpHandler =
    routes(
        "/v1/lease" bind Method.POST to { request ->
            request.withJson(LeaseRequest.serializer()) { it.answeredBy(model, settings) }
        },
        "/v1/lease/release" bind Method.POST to { request ->
            request.withJson(LeaseRelease.serializer()) {
                model.release(it)
                Response(Status.NO_CONTENT)
            }
        },
        "/v1/tasks/{task}" bind Method.POST to { request -> startTask(model, tasks, request) },
        "/v1/tasks/{task}/stop" bind Method.POST to { it.onRunning(model, model::stop) },
        "/v1/tasks/{task}/checkpoint" bind Method.POST to { it.onRunning(model, model::isRunning) },
        "/v1/tasks/{task}/throttle" bind Method.POST to { it.onRunning(model, model::isRunning) },
        "/v1/audit" bind Method.GET to { request ->
            val from = request.query("from")?.toIntOrNull() ?: 0
            json(UpstreamAudit.serializer(), model.audit(from.coerceAtLeast(0)))
        },
    )

/** A longer lease than the quiet time after a restart would let two schedulers hold the lease. */
private fun LeaseRequest.answeredBy(
    model: UpstreamModel,
    settings: UpstreamSettings,
): Response =
    if (ttlMillis in 1..settings.leaseTtl.toMillis()) {
        json(LeaseReply.serializer(), model.lease(this))
    } else {
        error(Status.BAD_REQUEST, "ttlMillis is $ttlMillis, but must be from 1 to ${settings.leaseTtl.toMillis()}")
    }

/** Every reply repeats the request id, so that the sender can tell that it is the reply to its instruction. */
private fun startTask(
    model: UpstreamModel,
    tasks: TaskRunner,
    request: Request,
): Response {
    val reply =
        when (val parsed = request.instruction(request.task())) {
            is ParsedInstruction.Valid -> tasks.run(model, parsed.instruction, request)
            is ParsedInstruction.Malformed -> malformed(parsed.detail)
        }
    val requestId = request.headerValues(TaskHeaders.REQUEST_ID).joinToString(",")
    return reply.header(TaskHeaders.REQUEST_ID, requestId)
}

/** Answers 204 if [change] applied to the task, or 404. */
private fun Request.onRunning(
    model: UpstreamModel,
    change: (TaskId) -> Boolean,
): Response {
    model.stopOrphans()
    val task = task()
    return if (change(task)) Response(Status.NO_CONTENT) else error(Status.NOT_FOUND, "task $task is not running")
}

private fun Request.task(): TaskId = TaskId(path("task").orEmpty())
