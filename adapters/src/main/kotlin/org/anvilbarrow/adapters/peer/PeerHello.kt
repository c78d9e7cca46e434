package org.anvilbarrow.adapters.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.anvilbarrow.protocol.codec.decodeOrNull
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

    /** Returns null for a frame that is no hello. */
    fun decode(frame: ByteArray): PeerHello? = cbor.decodeOrNull(PeerHello.serializer(), frame)
}
