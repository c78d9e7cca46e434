package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.lease.LeaseKeeper
import org.anvilbarrow.kernel.lease.shardsWithLeases
import org.anvilbarrow.kernel.membership.Membership
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.peer.RememberedId
import java.time.Instant

/** Gives shards to the schedulers that are meant to own them, with the memory of their request ids. */
internal object Handover {
    /** Ids in one message; with ids of the greatest length a message stays below the frame limit. */
    private const val IDS_PER_PART = 300

    fun onTick(turn: Turn) {
        turn.shardsWithLeases().forEach { consider(turn, it) }
    }

    fun onHomeMemory(
        turn: Turn,
        message: PeerMessage.HomeMemory,
    ) {
        turn.updateHome {
            val earlier = received[message.shard]?.takeIf { it.anchorLeases == message.anchorLeases }
            val memory = (earlier ?: ReceivedMemory.startedBy(message)).add(message)
            copy(received = received.put(message.shard, memory))
        }
        HomeOffices.useReceivedMemory(turn, message.shard)
        LeaseKeeper.askSoon(turn, message.shard)
    }

    private fun consider(
        turn: Turn,
        shard: ShardId,
    ) {
        val successor = turn.state.membership.intendedOwners[shard]
        val since = turn.state.lease.notIntendedSince[shard]
        val closingSince = turn.state.lease.closingSince[shard]
        when {
            closingSince != null ->
                if (turn.now >= closingSince + turn.limits.closing) giveTo(turn, shard, successor)
            turn.state.stopping -> close(turn, shard)
            successor == turn.self -> turn.updateLease { copy(notIntendedSince = notIntendedSince.remove(shard)) }
            successor == null -> Unit
            since == null -> turn.updateLease { copy(notIntendedSince = notIntendedSince.put(shard, turn.now)) }
            turn.now >= since + turn.limits.handoverDelay -> close(turn, shard)
        }
    }

    /** Places nothing more on [shard], while grants that were given are still used. */
    private fun close(
        turn: Turn,
        shard: ShardId,
    ) {
        turn.updateLease { copy(closingSince = closingSince.put(shard, turn.now)) }
        HomeRequests.turnAway(turn, shard)
        Membership.sendHeartbeats(turn)
    }

    private fun giveTo(
        turn: Turn,
        shard: ShardId,
        successor: SchedulerId?,
    ) {
        if (successor != null) sendMemory(turn, shard, successor)
        turn.updateHome { copy(offices = offices.remove(shard)) }
        LeaseKeeper.release(turn, shard)
    }

    private fun sendMemory(
        turn: Turn,
        shard: ShardId,
        successor: SchedulerId,
    ) {
        val office =
            turn.state.home.offices[shard]
                ?.takeIf { it.isValid(turn.now) } ?: return
        val parts =
            office.issuedAt.entries
                .chunked(IDS_PER_PART)
                .ifEmpty { listOf(emptyList()) }
        parts.forEachIndexed { index, entries ->
            val ids = entries.map { (id, issuedAt) -> RememberedId(id, issuedAt.toEpochMilli()) }
            turn.send(successor, homeMemory(turn, shard, office.completeSince, index, parts.size, ids))
        }
    }

    private fun homeMemory(
        turn: Turn,
        shard: ShardId,
        completeSince: Instant,
        part: Int,
        parts: Int,
        ids: List<RememberedId>,
    ) = PeerMessage.HomeMemory(
        shard = shard,
        anchorLeases = HomeOffices.anchorLeases(turn, shard),
        completeSinceEpochMillis = completeSince.toEpochMilli(),
        part = part,
        parts = parts,
        ids = ids,
    )
}
