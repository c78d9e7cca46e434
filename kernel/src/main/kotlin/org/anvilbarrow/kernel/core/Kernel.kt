package org.anvilbarrow.kernel.core

import kotlinx.collections.immutable.toPersistentList
import org.anvilbarrow.kernel.catalog.CatalogReader
import org.anvilbarrow.kernel.catalog.CatalogSync
import org.anvilbarrow.kernel.catalog.CatalogSyncState
import org.anvilbarrow.kernel.catalog.SnapshotSchedule
import org.anvilbarrow.kernel.home.Dispatcher
import org.anvilbarrow.kernel.home.Handover
import org.anvilbarrow.kernel.home.HomeDesk
import org.anvilbarrow.kernel.home.HomeRequests
import org.anvilbarrow.kernel.home.HomeState
import org.anvilbarrow.kernel.home.Placer
import org.anvilbarrow.kernel.home.Refusals
import org.anvilbarrow.kernel.ingress.Execution
import org.anvilbarrow.kernel.ingress.Ingress
import org.anvilbarrow.kernel.ingress.IngressState
import org.anvilbarrow.kernel.lease.LeaseKeeper
import org.anvilbarrow.kernel.ledger.Grants
import org.anvilbarrow.kernel.membership.Membership
import org.anvilbarrow.kernel.membership.MembershipState
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Instant

/**
 * Makes every decision of one scheduler, without I/O, clocks or randomness of its own.
 *
 * The same events at the same times give the same effects:
 * ```
 * val step = kernel.step(state, Event.Tick, clock.instant())
 * step.effects.forEach(::carryOut)
 * ```
 */
public class Kernel(
    private val limits: KernelLimits = KernelLimits(),
) {
    /** Returns the state of a scheduler that has just started and knows [peers] from its settings. */
    public fun start(
        self: SchedulerIdentity,
        peers: List<SchedulerId>,
        now: Instant,
    ): SchedulerState {
        check(self.id !in peers) { "scheduler ${self.id} is listed as its own peer" }
        return SchedulerState(
            self = self,
            membership = MembershipState(now, peers.toPersistentList()),
            home = HomeState.startingAt(now),
            ingress = IngressState(checks = DueTimes.startingAt(now)),
            sync = CatalogSyncState(logAnsweredAt = now, schedule = SnapshotSchedule(seenAt = now)),
        )
    }

    /** Handles one event that happened at [now]. */
    public fun step(
        state: SchedulerState,
        event: Event,
        now: Instant,
    ): Step<SchedulerState> {
        val turn = Turn(state, now, limits)
        handle(turn, event)
        settle(turn)
        return Step(turn.state, turn.effects.toList())
    }

    private fun handle(
        turn: Turn,
        event: Event,
    ) {
        when (event) {
            is Event.Tick -> onTick(turn)
            is Event.RequestArrived -> Ingress.onRequest(turn, event.exchange, event.request)
            is Event.CallerGone -> Ingress.onCallerGone(turn, event.exchange)
            is Event.PeerMessageReceived -> onMessage(turn, event.from, event.message)
            is Event.LeaseAnswered -> LeaseKeeper.onAnswer(turn, event.upstream, event.sentAt, event.reply)
            is Event.LeaseUnanswered -> Unit
            is Event.AnswerStarted -> Execution.onAnswerStarted(turn, event.exchange)
            is Event.TaskFinished -> Execution.onTaskFinished(turn, event)
            is Event.LogRead -> CatalogReader.onLogRead(turn, event)
            is Event.LogCompacted -> CatalogReader.onCompacted(turn, event.firstRetainedOffset)
            is Event.LogUnreachable -> Unit
            is Event.DrainRequested -> Membership.announceDrain(turn, event.upstream)
            is Event.VmListRead -> Membership.onVmList(turn, event.vms)
            is Event.StopRequested -> onStopRequested(turn)
        }
    }

    /** Handles the scheduler's messages to itself and places what can be placed, until nothing is left to do. */
    private fun settle(turn: Turn) {
        do {
            var message = turn.nextOwnMessage()
            while (message != null) {
                onMessage(turn, turn.self, message)
                message = turn.nextOwnMessage()
            }
            val dispatch = turn.dispatchNeeded
            turn.dispatchNeeded = false
            if (dispatch) Dispatcher.dispatch(turn)
        } while (dispatch)
    }

    private fun onTick(turn: Turn) {
        Membership.onTick(turn)
        CatalogSync.onTick(turn)
        LeaseKeeper.onTick(turn)
        Handover.onTick(turn)
        HomeRequests.onTick(turn)
        Refusals.onTick(turn)
        Dispatcher.expireReservations(turn)
        Ingress.onTick(turn)
        turn.dispatchNeeded = true
        completeStop(turn)
    }

    private fun onMessage(
        turn: Turn,
        from: SchedulerId,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.Heartbeat -> Membership.onHeartbeat(turn, message)
            is PeerMessage.Place -> HomeDesk.onPlace(turn, from, message)
            is PeerMessage.Placed -> Ingress.onPlaced(turn, from, message)
            is PeerMessage.NotPlaced -> Ingress.onNotPlaced(turn, message)
            is PeerMessage.Reserve -> Grants.onReserve(turn, from, message)
            is PeerMessage.Reserved -> Placer.onReserved(turn, message.grant)
            is PeerMessage.ReserveDenied -> Placer.onReserveDenied(turn, from, message)
            is PeerMessage.TaskEnded -> {
                Grants.onTaskEnded(turn, message)
                HomeRequests.onTaskEnded(turn, message)
            }
            is PeerMessage.Cancel -> HomeRequests.onCancel(turn, from, message.exchange)
            is PeerMessage.HomeMemory -> Handover.onHomeMemory(turn, message)
            is PeerMessage.DrainNotice -> Membership.onDrainNotice(turn, message.upstream)
            is PeerMessage.CatalogRequest -> CatalogSync.onRequest(turn, from, message)
            is PeerMessage.CatalogPart -> CatalogSync.onPart(turn, message.part)
        }
    }

    private fun onStopRequested(turn: Turn) {
        turn.state = turn.state.copy(stopping = true)
        Membership.refreshIntendedOwners(turn)
        Membership.sendHeartbeats(turn)
    }

    private fun completeStop(turn: Turn) {
        val state = turn.state
        if (!state.stopping || state.ingress.exchanges.isNotEmpty()) return
        if (state.lease.leases.isEmpty()) turn.emit(Effect.StopCompleted)
    }
}
