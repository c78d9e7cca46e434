package org.anvilbarrow.adapters.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson

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
