package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.placement.tasksThatFit
import org.anvilbarrow.protocol.model.WorkloadSpec
import java.time.Duration

/** Estimates how long a request waits behind those that are placed before it. */
internal object ExpectedWait {
    /**
     * Assumes that this home's own upstreams serve its queue: work that a peer takes only shortens the wait.
     */
    fun of(
        turn: Turn,
        workload: String,
        spec: WorkloadSpec,
    ): Duration {
        val ahead = workAhead(turn, spec)
        if (ahead == 0.0) return Duration.ZERO
        val capacity = ownSlots(turn, spec)
        if (capacity == 0) return Duration.ZERO
        val run =
            turn.state.home.runTimes
                .expected(workload, spec)
        return Duration.ofMillis((ahead / capacity * run.toMillis()).toLong())
    }

    /** Counts the queued tasks of the same or a more urgent class. */
    private fun workAhead(
        turn: Turn,
        spec: WorkloadSpec,
    ): Double =
        turn.state.home.queue.lanes.entries.sumOf { (workload, lane) ->
            val other =
                turn.state.catalog.workloads[workload]
                    ?.spec
            if (other == null || other.urgency > spec.urgency) 0.0 else lane.size.toDouble() * other.tasks
        }

    private fun ownSlots(
        turn: Turn,
        spec: WorkloadSpec,
    ): Int =
        turn.state.lease.leases.entries.sumOf { (upstream, lease) ->
            val declared = turn.state.catalog.upstreams[upstream]
            if (declared == null ||
                !lease.isValid(turn.now)
            ) {
                0
            } else {
                tasksThatFit(spec.resources, declared.spec.capacity)
            }
        }
}
