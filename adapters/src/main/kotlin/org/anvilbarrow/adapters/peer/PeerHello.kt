package org.anvilbarrow.adapters.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.anvilbarrow.protocol.model.SchedulerId

/** First frame on a connection between schedulers. */
@Serializable
public data class PeerHello(
    val protocolVersion: Int,
    val scheduler: SchedulerId,
    val incarnation: Long,
) {
    public companion object {
        /** Version of the peer messages; peers of another version are not talked to. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}

@OptIn(ExperimentalSerializationApi::class)
internal object HelloCodec {
    private val cbor = Cbor { ignoreUnknownKeys = false }

    fun encode(hello: PeerHello): ByteArray = cbor.encodeToByteArray(hello)

    /** Returns null for a frame that is no hello; the decoder throws all three kinds for malformed frames. */
    fun decode(frame: ByteArray): PeerHello? =
        try {
            cbor.decodeFromByteArray<PeerHello>(frame)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: IndexOutOfBoundsException) {
            null
        }
}
