package org.anvilbarrow.kernel.home

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.peer.AnchorLease
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Instant

/** Parts of a [PeerMessage.HomeMemory] that arrived so far. */
internal data class ReceivedMemory(
    val anchorLeases: List<AnchorLease>,
    val completeSince: Instant,
    val parts: Int,
    val receivedParts: Set<Int>,
    val issuedAt: PersistentMap<RequestId, Instant>,
) {
    val isComplete: Boolean get() = receivedParts.size == parts

    fun add(message: PeerMessage.HomeMemory): ReceivedMemory =
        copy(
            receivedParts = receivedParts + message.part,
            issuedAt =
                message.ids.fold(
                    issuedAt,
                ) { map, id -> map.put(id.id, Instant.ofEpochMilli(id.issuedAtEpochMillis)) },
        )

    companion object {
        fun startedBy(message: PeerMessage.HomeMemory): ReceivedMemory =
            ReceivedMemory(
                message.anchorLeases,
                Instant.ofEpochMilli(message.completeSinceEpochMillis),
                message.parts,
                emptySet(),
                persistentMapOf(),
            )
    }
}
