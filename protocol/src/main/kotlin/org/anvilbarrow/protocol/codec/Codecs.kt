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

/** Decodes [bytes], or returns null if they do not hold such a value; the decoder throws these kinds. */
@OptIn(ExperimentalSerializationApi::class)
public fun <T> Cbor.decodeOrNull(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T? =
    try {
        decodeFromByteArray(serializer, bytes)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IllegalStateException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    } catch (_: NegativeArraySizeException) {
        null
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

    /**
     * Decodes one frame; a frame that is not a known message gives [DecodedFrame.Malformed].
     *
     * The CBOR decoder throws [IllegalStateException] or [IndexOutOfBoundsException] for truncated frames.
     */
    @Suppress("TooGenericExceptionCaught")
    public fun decode(frame: ByteArray): DecodedFrame =
        try {
            DecodedFrame.Message(cbor.decodeFromByteArray<PeerMessage>(frame))
        } catch (e: SerializationException) {
            DecodedFrame.Malformed(e.message ?: "not a CBOR message")
        } catch (e: IllegalArgumentException) {
            DecodedFrame.Malformed(e.message ?: "not a CBOR message")
        } catch (e: IllegalStateException) {
            DecodedFrame.Malformed(e.message ?: "truncated CBOR message")
        } catch (e: IndexOutOfBoundsException) {
            DecodedFrame.Malformed(e.message ?: "truncated CBOR message")
        }
}
