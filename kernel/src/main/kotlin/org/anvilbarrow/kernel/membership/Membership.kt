package org.anvilbarrow.kernel.membership

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.placement.freeCapacity
import org.anvilbarrow.kernel.shard.OwnerCandidate
import org.anvilbarrow.kernel.shard.ShardAssignment
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration

/** Keeps track of live peers, of leaving upstreams, and of who is meant to own which shard. */
internal object Membership {
    /** A drain notice that no log record confirmed is forgotten after this time. */
    private val DRAIN_NOTICE_TTL: Duration = Duration.ofSeconds(60)

    fun onHeartbeat(
        turn: Turn,
        heartbeat: PeerMessage.Heartbeat,
    ) {
        turn.updateMembership {
            copy(peers = peers.put(heartbeat.scheduler, PeerView(heartbeat, turn.now, heartbeat.free)))
        }
        turn.dispatchNeeded = true
    }

    fun onVmList(
        turn: Turn,
        vms: List<VmEntry>,
    ) {
        val leaving = vms.filter { it.state == VmState.LEAVING }.map { UpstreamId(it.name) }
        val isNew =
            !turn.state.membership.leavingVms
                .containsAll(leaving)
        turn.updateMembership { copy(leavingVms = leaving.toPersistentSet()) }
        if (isNew) sendHeartbeats(turn)
    }

    /** Forgets the notices about [upstreams]: the catalog now says whether they are draining. */
    fun forgetNotices(
        turn: Turn,
        upstreams: Set<UpstreamId>,
    ) = turn.updateMembership { copy(drainNotices = upstreams.fold(drainNotices) { left, id -> left.remove(id) }) }

    fun onDrainNotice(
        turn: Turn,
        upstream: UpstreamId,
    ) {
        val isKnown =
            turn.state.catalog.upstreams[upstream]
                ?.spec
                ?.draining == true
        if (isKnown) return
        turn.updateMembership { copy(drainNotices = drainNotices.put(upstream, turn.now)) }
    }

    /** Stops new work on [upstream] everywhere, before its log record is read. */
    fun announceDrain(
        turn: Turn,
        upstream: UpstreamId,
    ) {
        onDrainNotice(turn, upstream)
        turn.state.membership.configuredPeers
            .forEach { turn.send(it, PeerMessage.DrainNotice(upstream)) }
    }

    fun onTick(turn: Turn) {
        forgetOldNotices(turn)
        refreshIntendedOwners(turn)
        val membership = turn.state.membership
        if (turn.now >= membership.lastHeartbeatAt + turn.limits.heartbeat || membership.peerWaits) {
            sendHeartbeats(turn)
        }
    }

    fun sendHeartbeats(turn: Turn) {
        val heartbeat = heartbeat(turn)
        turn.updateMembership { copy(lastHeartbeatAt = turn.now, peerWaits = false) }
        turn.state.membership.configuredPeers
            .forEach { turn.send(it, heartbeat) }
    }

    /** Works out anew who is meant to own each shard. */
    fun refreshIntendedOwners(turn: Turn) {
        val basis = AssignmentBasis(liveOwners(turn), turn.state.catalog.shards)
        if (basis == turn.state.membership.assignedFrom) return
        val shardRegions = basis.shards.mapValues { it.value.spec.region }
        val intended = ShardAssignment.assign(shardRegions, basis.live).toPersistentMap()
        turn.updateMembership { copy(assignedFrom = basis, intendedOwners = intended) }
    }

    private fun liveOwners(turn: Turn): List<OwnerCandidate> {
        val state = turn.state
        val peers =
            state.membership.peers.values
                .filter { it.isLive(turn.now, turn.limits.peerTimeout) && !it.heartbeat.stopping }
                .map { OwnerCandidate(it.heartbeat.scheduler, it.heartbeat.region) }
        val self = OwnerCandidate(state.self.id, state.self.region)
        return if (state.stopping) peers else peers + self
    }

    private fun heartbeat(turn: Turn): PeerMessage.Heartbeat {
        val state = turn.state
        return PeerMessage.Heartbeat(
            scheduler = state.self.id,
            incarnation = state.self.incarnation,
            region = state.self.region,
            failureDomain = state.self.failureDomain,
            stopping = state.stopping,
            homeOf = state.homeShards(turn.now),
            free = turn.freeCapacity(),
            appliedOffset = state.catalog.appliedOffset,
            leaving = leavingFirstHand(turn),
        )
    }

    /** What peers reported is left out, as it would be passed around for good. */
    private fun leavingFirstHand(turn: Turn): List<UpstreamId> {
        val state = turn.state
        val leased =
            state.lease.leases
                .filterValues { it.leaving }
                .keys
        return (state.membership.leavingVms + leased).sorted()
    }

    private fun forgetOldNotices(turn: Turn) {
        val old =
            turn.state.membership.drainNotices
                .filterValues { it + DRAIN_NOTICE_TTL < turn.now }
                .keys
        if (old.isEmpty()) return
        turn.updateMembership {
            copy(
                drainNotices = old.fold(drainNotices) { left, upstream -> left.remove(upstream) },
            )
        }
    }
}

/** Returns the live scheduler that says it is home to [shard], preferring this one. */
internal fun Turn.knownHomeOf(shard: ShardId): SchedulerId? {
    if (shard in state.homeShards(now)) return self
    return state.membership.peers.values
        .filter { shard in it.heartbeat.homeOf && it.isLive(now, limits.peerTimeout) }
        .maxByOrNull { it.heardAt }
        ?.heartbeat
        ?.scheduler
}
