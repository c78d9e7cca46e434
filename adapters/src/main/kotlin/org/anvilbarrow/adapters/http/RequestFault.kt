package org.anvilbarrow.adapters.http

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.codec.strictJson
import org.http4k.core.Response
import org.http4k.core.Status

/** One thing that is wrong with a request. */
@Serializable
public data class RequestFault(
    /** Header, path element or `body`. */
    val field: String,
    /** The value that was seen, shortened, or null if there was none. */
    val seen: String?,
    /** What is allowed. */
    val allowed: String,
)

/** Body of an answer to a request that was not accepted; the request did not run. */
@Serializable
public data class FaultReport(
    val error: String,
    val ran: Boolean,
    val faults: List<RequestFault>,
)

/** Answers [faults] as JSON under [status]. */
public fun faultResponse(
    status: Status,
    error: String,
    faults: List<RequestFault>,
): Response =
    Response(status)
        .header("Content-Type", JSON_CONTENT_TYPE)
        .header(CallerHeaders.OUTCOME, "refused")
        .body(strictJson.encodeToString(FaultReport.serializer(), FaultReport(error, ran = false, faults)))

internal const val JSON_CONTENT_TYPE = "application/json"

private const val SHOWN_CHARACTERS = 80

/** Shortens a value for an error message. */
internal fun String.shortened(): String =
    if (length <= SHOWN_CHARACTERS) this else take(SHOWN_CHARACTERS) + "... ($length characters)"
