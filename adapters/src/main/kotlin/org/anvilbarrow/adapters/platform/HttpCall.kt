package org.anvilbarrow.adapters.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson
import org.http4k.core.Request
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

            is Sent.Answered ->
                try {
                    val body =
                        sent.response.body.stream
                            .readNBytes(maxReplyBytes + 1)
                    if (body.size <= maxReplyBytes) {
                        CallReply.Replied(sent.response.status.code, body)
                    } else {
                        CallReply.Unknown("the reply is longer than $maxReplyBytes bytes")
                    }
                } catch (e: IOException) {
                    CallReply.Unknown("the reply was cut short: ${e.message}")
                }
        }
    }

/** Result of decoding a reply. */
internal sealed interface DecodedReply<out T> {
    data class Valid<T>(
        val value: T,
    ) : DecodedReply<T>

    data class Malformed(
        val detail: String,
    ) : DecodedReply<Nothing>
}

/** Decodes a reply; [problemOf] returns what is wrong with a decoded value, or null. */
internal fun <T> CallReply.Replied.decode(
    serializer: KSerializer<T>,
    problemOf: (T) -> String? = { null },
): DecodedReply<T> =
    try {
        val value = strictJson.decodeFromString(serializer, body.decodeToString(throwOnInvalidSequence = true))
        problemOf(value)?.let { DecodedReply.Malformed("the reply is malformed: $it") } ?: DecodedReply.Valid(value)
    } catch (e: SerializationException) {
        DecodedReply.Malformed("the reply is malformed: ${e.message}")
    } catch (e: CharacterCodingException) {
        DecodedReply.Malformed("the reply is not UTF-8: ${e.message}")
    } catch (e: IllegalArgumentException) {
        DecodedReply.Malformed("the reply is malformed: ${e.message}")
    }

/** Adds [value] as JSON body. */
internal fun <T> Request.json(
    serializer: KSerializer<T>,
    value: T,
): Request = header("Content-Type", "application/json").body(strictJson.encodeToString(serializer, value))
