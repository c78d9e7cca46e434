package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/**
 * Stops runs that cannot end before their upstream leaves.
 *
 * They would be lost with it, and their tasks could start elsewhere only after the leases there have lapsed.
 */
internal class Evacuation(
    private val state: CellState,
    private val runs: RunController,
) {
    fun tick() {
        state.upstreams.values.forEach { upstream ->
            val leavesAt = upstream.leavesAt ?: return@forEach
            upstream.runs.values
                .filter { it.status == Run.Status.STARTED && !endsBefore(it, leavesAt) }
                .forEach { move(it, leavesAt) }
        }
    }

    private fun endsBefore(
        run: Run,
        leavesAt: Instant,
    ): Boolean {
        val step = run.step ?: return true
        return !step.spec.longRunning && !run.startedAt.plus(expectedTime(run, step)).isAfter(leavesAt)
    }

    /** The measured pace, or the caller's estimate before there is any progress. */
    private fun expectedTime(
        run: Run,
        step: StepRun,
    ): Duration =
        if (run.percent > 0) {
            Duration.between(run.startedAt, run.progressedAt).multipliedBy(WHOLE).dividedBy(run.percent.toLong())
        } else {
            step.spec.estimate
        }

    private fun move(
        run: Run,
        leavesAt: Instant,
    ) {
        val left = Duration.between(state.now, leavesAt)
        state.decided("run-moved", run.task, "run ${run.number} at ${run.percent}%, ${run.upstream} leaves in $left")
        val step = run.step
        // The other members of a gang end with the one that is stopped.
        if (step != null && step.spec.gang) runs.stopAll(step) else runs.stop(run)
    }

    private companion object {
        const val WHOLE = 100L
    }
}
