package org.anvilbarrow.kernel.core

import org.anvilbarrow.kernel.catalog.CatalogSyncState
import org.anvilbarrow.kernel.home.HomeState
import org.anvilbarrow.kernel.ingress.IngressState
import org.anvilbarrow.kernel.lease.LeaseState
import org.anvilbarrow.kernel.membership.MembershipState
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Instant

/** The handling of one event: the state as it changes and the effects so far. */
internal class Turn(
    var state: SchedulerState,
    val now: Instant,
    val limits: KernelLimits,
) {
    private val collectedEffects = mutableListOf<Effect>()
    private val ownMessages = ArrayDeque<PeerMessage>()

    /** True if capacity or requests changed, so that queued requests are looked at again. */
    var dispatchNeeded: Boolean = false

    /** Upstreams that live peers know to be leaving. */
    val leavingAccordingToPeers: Set<UpstreamId> by lazy {
        state.membership.peers.values
            .filter { it.heartbeat.leaving.isNotEmpty() && it.isLive(now, limits.peerTimeout) }
            .flatMapTo(HashSet()) { it.heartbeat.leaving }
    }

    val effects: List<Effect> get() = collectedEffects

    val self: SchedulerId get() = state.self.id

    fun emit(effect: Effect) {
        collectedEffects += effect
    }

    /** Sends [message] to a peer, or handles it within this turn if [to] is this scheduler. */
    fun send(
        to: SchedulerId,
        message: PeerMessage,
    ) {
        if (to == self) ownMessages += message else emit(Effect.SendToPeer(to, message))
    }

    fun nextOwnMessage(): PeerMessage? = ownMessages.removeFirstOrNull()

    fun newTaskId(): TaskId {
        val number = state.lastTask + 1
        state = state.copy(lastTask = number)
        return TaskId("$self.${state.self.incarnation}.$number")
    }

    inline fun updateLease(change: LeaseState.() -> LeaseState) {
        state = state.copy(lease = state.lease.change())
    }

    inline fun updateHome(change: HomeState.() -> HomeState) {
        state = state.copy(home = state.home.change())
    }

    inline fun updateIngress(change: IngressState.() -> IngressState) {
        state = state.copy(ingress = state.ingress.change())
    }

    inline fun updateSync(change: CatalogSyncState.() -> CatalogSyncState) {
        state = state.copy(sync = state.sync.change())
    }

    inline fun updateMembership(change: MembershipState.() -> MembershipState) {
        state = state.copy(membership = state.membership.change())
    }
}
