package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.membership.Membership
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.peer.AnchorLease
import java.time.Instant

/** Keeps track of the shards to whose request ids this scheduler is home. */
internal object HomeOffices {
    /** Works out anew how long this scheduler is home to [shard]; called after each change of a lease of it. */
    fun refresh(
        turn: Turn,
        shard: ShardId,
    ) {
        val until = officeEnd(turn, shard)
        val office = turn.state.home.offices[shard]
        when {
            office != null && office.isValid(turn.now) -> put(turn, shard, office.copy(validUntil = until))
            until > turn.now -> put(turn, shard, begin(turn, office, until))
        }
    }

    /** Uses the memory that an earlier home handed over, if nobody was home in between. */
    fun useReceivedMemory(
        turn: Turn,
        shard: ShardId,
    ) {
        val office = turn.state.home.offices[shard] ?: return
        val received = turn.state.home.received[shard] ?: return
        if (!received.isComplete || !followsDirectly(turn, shard, received.anchorLeases)) return
        val merged =
            office.copy(
                completeSince = minOf(office.completeSince, received.completeSince),
                issuedAt = office.issuedAt.putAll(received.issuedAt),
            )
        put(turn, shard, merged)
        val expiring = received.issuedAt.entries.map { ExpiringId(shard, it.key) to it.value }
        turn.updateHome {
            copy(
                received = this.received.remove(shard),
                idExpiry =
                    expiring.fold(idExpiry) { times, (key, issuedAt) ->
                        times.schedule(key, issuedAt + turn.limits.idRetention)
                    },
            )
        }
    }

    /** Returns the leases of the anchors of [shard] that are valid now. */
    fun anchorLeases(
        turn: Turn,
        shard: ShardId,
    ): List<AnchorLease> =
        anchors(turn, shard).mapNotNull { upstream ->
            val lease =
                turn.state.lease.leases[upstream]
                    ?.takeIf { it.isValid(turn.now) }
            lease?.let { AnchorLease(upstream, it.upstreamIncarnation, it.epoch) }
        }

    private fun begin(
        turn: Turn,
        earlier: HomeOffice?,
        until: Instant,
    ): HomeOffice {
        val completeSince = turn.now + turn.limits.issuedAhead + turn.limits.schedulerClockBound
        val office = earlier?.copy(validUntil = until, completeSince = completeSince)
        return office ?: HomeOffice(until, completeSince)
    }

    private fun put(
        turn: Turn,
        shard: ShardId,
        office: HomeOffice,
    ) {
        val isNew =
            turn.state.home.offices[shard]
                ?.isValid(turn.now) != true
        turn.updateHome { copy(offices = offices.put(shard, office)) }
        if (!isNew) return
        useReceivedMemory(turn, shard)
        // Requests wait at their ingresses until they hear of their home.
        Membership.sendHeartbeats(turn)
    }

    private fun anchors(
        turn: Turn,
        shard: ShardId,
    ) = turn.state.catalog.shards[shard]
        ?.spec
        ?.anchors
        .orEmpty()

    /** A majority of the anchors is leased until the majority-th latest end of their leases. */
    private fun officeEnd(
        turn: Turn,
        shard: ShardId,
    ): Instant {
        val anchors = anchors(turn, shard)
        if (anchors.isEmpty()) return Instant.EPOCH
        val ends =
            anchors.map {
                turn.state.lease.leases[it]
                    ?.validUntil ?: Instant.EPOCH
            }
        return ends.sortedDescending()[anchors.size / 2]
    }

    /** True if for a majority of the anchors this scheduler's lease is the next after the earlier home's. */
    private fun followsDirectly(
        turn: Turn,
        shard: ShardId,
        earlier: List<AnchorLease>,
    ): Boolean {
        val own = anchorLeases(turn, shard)
        val direct = own.count { lease -> earlier.any { it.isDirectlyBefore(lease) } }
        return direct > anchors(turn, shard).size / 2
    }

    private fun AnchorLease.isDirectlyBefore(next: AnchorLease) =
        upstream == next.upstream && upstreamIncarnation == next.upstreamIncarnation && epoch + 1 == next.epoch
}
