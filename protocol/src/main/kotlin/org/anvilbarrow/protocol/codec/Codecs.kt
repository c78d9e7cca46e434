package org.anvilbarrow.protocol.codec

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import org.anvilbarrow.protocol.peer.PeerMessage

/** JSON as every HTTP interface of the project speaks it: unknown fields are errors, defaults are written. */
public val strictJson: Json =
    Json {
        encodeDefaults = true
        classDiscriminator = "type"
    }

/** Decodes [bytes], or returns null if they do not hold such a value. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> Cbor.decodeOrNull(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T? = decoded({ decodeFromByteArray(serializer, bytes) }, { null })

/** Returns what [decode] returns, or [malformed] of what it throws; the CBOR decoder throws these kinds. */
@Suppress("TooGenericExceptionCaught")
private inline fun <T> decoded(
    decode: () -> T,
    malformed: (RuntimeException) -> T,
): T =
    try {
        decode()
    } catch (e: SerializationException) {
        malformed(e)
    } catch (e: IllegalArgumentException) {
        malformed(e)
    } catch (e: IllegalStateException) {
        malformed(e)
    } catch (e: IndexOutOfBoundsException) {
        malformed(e)
    } catch (e: NegativeArraySizeException) {
        malformed(e)
    }

/** Result of decoding a frame from a peer. */
public sealed interface DecodedFrame {
    /** The frame held a known message. */
    public data class Message(
        val message: PeerMessage,
    ) : DecodedFrame

    /** The frame could not be decoded; [detail] names what is wrong. */
    public data class Malformed(
        val detail: String,
    ) : DecodedFrame
}

/** CBOR encoding of [PeerMessage]. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    /** Longest frame that is sent or accepted, in bytes. */
    public const val MAX_FRAME_BYTES: Int = 64 * 1024

    private val cbor = Cbor { ignoreUnknownKeys = false }

    /** Encodes [message] as one frame without its length prefix. */
    public fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray<PeerMessage>(message)

    /** Decodes one frame; a frame that is not a known message gives [DecodedFrame.Malformed]. */
    public fun decode(frame: ByteArray): DecodedFrame =
        decoded(
            { DecodedFrame.Message(cbor.decodeFromByteArray<PeerMessage>(frame)) },
            { DecodedFrame.Malformed(it.message ?: "not a CBOR message") },
        )
}
