package org.anvilbarrow.adapters.http

import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.UnknownReason
import org.http4k.core.Response
import org.http4k.core.Status

/** Returns the HTTP answer that tells a caller of [outcome]. */
public fun outcomeResponse(outcome: Outcome): Response =
    when (outcome) {
        is Outcome.Refused ->
            respond(
                refusedStatus(outcome.reason),
                OutcomeBody("refused", outcome.reason.wireName(), false, outcome.retryAfterMillis, outcome.detail),
            )
        is Outcome.Unknown ->
            respond(
                unknownStatus(outcome.reason),
                OutcomeBody("unknown", outcome.reason.wireName(), null, outcome.retryAfterMillis, outcome.detail),
            )
    }

private fun respond(
    status: Status,
    body: OutcomeBody,
): Response =
    Response(status)
        .header("Content-Type", JSON_CONTENT_TYPE)
        .header(CallerHeaders.OUTCOME, body.outcome)
        .let { response ->
            body.retryAfterMillis?.let { response.header("Retry-After", retryAfterSeconds(it).toString()) } ?: response
        }.body(strictJson.encodeToString(OutcomeBody.serializer(), body))

/** `Retry-After` has whole seconds; rounding up keeps callers from coming back too early. */
private fun retryAfterSeconds(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

private fun refusedStatus(reason: RefusalReason): Status =
    when (reason) {
        RefusalReason.UNKNOWN_WORKLOAD -> Status.NOT_FOUND
        RefusalReason.NEVER_FITS -> Status.UNPROCESSABLE_ENTITY
        else -> Status.SERVICE_UNAVAILABLE
    }

private fun unknownStatus(reason: UnknownReason): Status =
    when (reason) {
        UnknownReason.HOME_UNREACHABLE, UnknownReason.DEADLINE_PASSED -> Status.GATEWAY_TIMEOUT
        else -> Status.BAD_GATEWAY
    }

internal fun RefusalReason.wireName(): String = RefusalReason.serializer().descriptor.getElementName(ordinal)

internal fun UnknownReason.wireName(): String = UnknownReason.serializer().descriptor.getElementName(ordinal)

private const val MILLIS_PER_SECOND = 1_000
