package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.model.WorkloadSpec
import java.time.Instant

/** Places queued requests: urgent ones first, then by deadline. */
internal object Dispatcher {
    /** Requests of one lane that may wait for peers' reservations at the same time. */
    private const val MAX_RESERVING_PER_LANE = 64

    /** Places what can be placed; a lane whose head cannot be placed is passed over. */
    fun dispatch(turn: Turn) {
        val blocked = heldUp(turn).toHashSet()
        while (true) {
            val head = nextHead(turn, blocked) ?: return
            if (!Placer.place(turn, head.request, head.spec)) blocked += head.request.request.workload
        }
    }

    /** Returns the lanes that wait while slots are held for a gang. */
    private fun heldUp(turn: Turn): List<String> {
        val gang = GangHold.workload(turn) ?: return emptyList()
        return turn.state.home.queue.lanes.keys
            .filter {
                it != gang &&
                    turn.state.catalog.workloads[it]
                        ?.spec
                        ?.urgency != Urgency.URGENT
            }
    }

    private fun nextHead(
        turn: Turn,
        blocked: Set<String>,
    ): Head? =
        turn.state.home.queue.lanes.keys
            .filter { it !in blocked }
            .mapNotNull { headOf(turn, it) }
            .minWithOrNull(compareBy({ it.urgency }, { it.request.deadline }, { it.request.request.workload }))

    private fun headOf(
        turn: Turn,
        workload: String,
    ): Head? {
        val home = turn.state.home
        val spec =
            turn.state.catalog.workloads[workload]
                ?.spec ?: return null
        return home.queue.lanes
            .getValue(workload)
            .asSequence()
            .take(MAX_RESERVING_PER_LANE)
            .map { home.requests.getValue(it) }
            .firstOrNull { it.isDispatchable(turn) }
            ?.let { Head(it, spec) }
    }

    private fun HomeRequest.isDispatchable(turn: Turn): Boolean =
        phase is HomeRequest.Phase.Queued &&
            turn.now >= notBefore &&
            turn.now < deadline &&
            turn.state.home.offices[shard]
                ?.covers(turn.now, turn.limits.grantTtl) == true

    private data class Head(
        val request: HomeRequest,
        val spec: WorkloadSpec,
    ) {
        val urgency: Urgency get() = spec.urgency
    }

    /** Ends reservations that were not answered in time; called on every tick. */
    fun expireReservations(turn: Turn) {
        val oldest: Instant = turn.now - turn.limits.peerReply
        turn.state.home.tasks.values
            .distinct()
            .mapNotNull { turn.state.home.requests[it] }
            .filter { (it.phase as? HomeRequest.Phase.Reserving)?.since?.let { since -> since < oldest } == true }
            .forEach { Placer.requeue(turn, it) }
    }
}
