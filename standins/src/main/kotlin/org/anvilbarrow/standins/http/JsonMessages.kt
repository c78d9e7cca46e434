package org.anvilbarrow.standins.http

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Longest JSON body of a request, in bytes. */
internal const val MAX_JSON_BYTES: Int = 1024 * 1024

/** Decodes the request's JSON body and answers with [handle], or answers 400 or 413 and says what is wrong. */
internal fun <T> Request.withJson(
    serializer: KSerializer<T>,
    maxBytes: Int = MAX_JSON_BYTES,
    handle: (T) -> Response,
): Response {
    val bytes = body.stream.use { it.readNBytes(maxBytes + 1) }
    if (bytes.size > maxBytes) return error(Status.REQUEST_ENTITY_TOO_LARGE, "the body is longer than $maxBytes bytes")
    val message =
        try {
            strictJson.decodeFromString(serializer, bytes.decodeToString())
        } catch (e: SerializationException) {
            return error(Status.BAD_REQUEST, e.message ?: "the body is not JSON")
        } catch (e: IllegalArgumentException) {
            return error(Status.BAD_REQUEST, e.message ?: "the body is not valid")
        }
    return handle(message)
}

/** Answers [status] with [value] as JSON. */
internal fun <T> json(
    serializer: KSerializer<T>,
    value: T,
    status: Status = Status.OK,
): Response = Response(status).text("application/json", strictJson.encodeToString(serializer, value))

/** Answers [status] with one line that says what is wrong. */
internal fun error(
    status: Status,
    detail: String,
): Response = Response(status).text("text/plain", "$detail\n")

private fun Response.text(
    contentType: String,
    content: String,
): Response =
    header("Content-Type", contentType)
        .header("Content-Length", "${content.toByteArray().size}")
        .body(content)
