package org.anvilbarrow.adapters.resources

import kotlinx.serialization.KSerializer
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.SnapshotObject
import org.anvilbarrow.protocol.resources.ChangeAccepted
import org.anvilbarrow.protocol.resources.FieldFault
import org.anvilbarrow.protocol.resources.ResourceDocument
import org.anvilbarrow.protocol.resources.ResourceErrorCode
import org.anvilbarrow.protocol.resources.ResourceProblem
import org.http4k.core.Response
import org.http4k.core.Status
import java.time.Duration

internal fun <T> json(
    status: Status,
    serializer: KSerializer<T>,
    value: T,
): Response =
    Response(status)
        .header("Content-Type", "application/json")
        .body(strictJson.encodeToString(serializer, value) + "\n")

internal fun problem(
    status: Status,
    problem: ResourceProblem,
): Response = json(status, ResourceProblem.serializer(), problem)

internal fun invalid(faults: List<FieldFault>): Response {
    val detail = faults.joinToString("; ") { "${it.field} is ${it.value}, must be ${it.limit}" }
    return problem(Status.BAD_REQUEST, ResourceProblem(ResourceErrorCode.INVALID, detail, faults))
}

internal fun notFound(detail: String): Response =
    problem(Status.NOT_FOUND, ResourceProblem(ResourceErrorCode.NOT_FOUND, detail))

internal fun refused(
    detail: String,
    retryAfter: Duration,
): Response =
    problem(Status.SERVICE_UNAVAILABLE, ResourceProblem(ResourceErrorCode.REFUSED, detail))
        .header("Retry-After", retryAfter.toSeconds().toString())

internal fun documentResponse(declared: SnapshotObject): Response =
    json(Status.OK, ResourceDocument.serializer(), ResourceJson.document(declared)).etag(declared.version)

/** Answers [change] with its [result]; a condition that does not hold gives 412, a lost race without one 409. */
internal fun changeResponse(
    change: ChangeRequest,
    result: ChangeResult,
): Response =
    when (result) {
        is ChangeResult.Accepted -> {
            val accepted = ChangeAccepted(change.kind.label, change.name, result.version, change.changeId)
            json(Status.OK, ChangeAccepted.serializer(), accepted).etag(result.version)
        }

        is ChangeResult.Conflict -> {
            val status = if (change.expectedVersion == null) Status.CONFLICT else Status.PRECONDITION_FAILED
            val version = result.currentVersion
            val detail =
                "${change.kind.label} \"${change.name}\" " + (version?.let { "has version $it" } ?: "does not exist")
            val code = ResourceErrorCode.CONFLICT
            problem(status, ResourceProblem(code, detail, changeId = change.changeId, currentVersion = version))
        }

        is ChangeResult.NotFound -> {
            notFound("${change.kind.label} \"${change.name}\" does not exist")
        }

        is ChangeResult.Invalid -> {
            invalid(result.errors.map { FieldFault(it.field, it.value, it.limit) })
        }

        is ChangeResult.Unknown -> {
            val detail = "${result.detail}; ask again with the same Change-Id"
            val code = ResourceErrorCode.UNKNOWN_OUTCOME
            problem(Status.GATEWAY_TIMEOUT, ResourceProblem(code, detail, changeId = result.changeId))
        }

        is ChangeResult.Refused -> {
            refused(result.detail, result.retryAfter)
        }
    }

private fun Response.etag(version: Long) = header("ETag", "\"$version\"")
