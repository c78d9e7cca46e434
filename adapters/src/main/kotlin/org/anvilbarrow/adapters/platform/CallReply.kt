package org.anvilbarrow.adapters.platform

import kotlinx.serialization.KSerializer
import org.anvilbarrow.protocol.codec.strictJson
import org.http4k.core.Request
import org.http4k.core.Response
import java.io.IOException
import java.time.Duration

/** Result of a short call. */
internal sealed interface CallReply {
    /** The whole reply arrived. */
    class Replied(
        val status: Int,
        val body: ByteArray,
    ) : CallReply

    /** No usable reply arrived; the call may have had its effect. */
    data class Unknown(
        val detail: String,
    ) : CallReply

    /** The call was not sent. */
    data class NotSent(
        val detail: String,
    ) : CallReply
}

/** Sends what [request] returns and reads the reply of at most [maxReplyBytes]. */
internal fun JettyTransport.call(
    timeout: Duration,
    maxReplyBytes: Int,
    request: () -> Request,
): CallReply =
    HttpExchange(this, timeout).use { exchange ->
        when (val sent = exchange.send(request = request)) {
            is Sent.NotSent -> CallReply.NotSent(sent.detail)

            is Sent.MaybeSent -> CallReply.Unknown(sent.detail)

            is Sent.Answered -> sent.response.readReply(maxReplyBytes)
        }
    }

private fun Response.readReply(maxBytes: Int): CallReply =
    try {
        val bytes = body.stream.readNBytes(maxBytes + 1)
        if (bytes.size <= maxBytes) {
            CallReply.Replied(status.code, bytes)
        } else {
            CallReply.Unknown("the reply is longer than $maxBytes bytes")
        }
    } catch (e: IOException) {
        CallReply.Unknown("the reply was cut short: ${e.message}")
    }

/** Adds [value] as JSON body. */
internal fun <T> Request.json(
    serializer: KSerializer<T>,
    value: T,
): Request = header("Content-Type", "application/json").body(strictJson.encodeToString(serializer, value))
