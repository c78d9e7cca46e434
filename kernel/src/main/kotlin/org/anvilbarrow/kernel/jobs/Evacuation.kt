package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/**
 * Stops runs that cannot end before their upstream leaves.
 *
 * Otherwise they would be lost with the upstream, and their tasks could start elsewhere only after the leases expire.
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
                .forEach { evacuate(it, leavesAt) }
        }
    }

    private fun endsBefore(
        run: Run,
        leavesAt: Instant,
    ): Boolean {
        val step = run.step ?: return true
        return !step.spec.longRunning && !run.startedAt.plus(expectedTime(run, step)).isAfter(leavesAt)
    }

    /** Run time extrapolated from the progress, or from what is known of the task and its upstream. */
    private fun expectedTime(
        run: Run,
        step: StepRun,
    ): Duration =
        if (run.percent > 0) {
            Duration.between(run.startedAt, run.progressedAt).multipliedBy(FULL_PERCENT).dividedBy(run.percent.toLong())
        } else {
            run.upstream.speed.timeOf(step.expected)
        }

    private fun evacuate(
        run: Run,
        leavesAt: Instant,
    ) {
        val left = Duration.between(state.now, leavesAt)
        state.decided("run-moved", run.task, "run ${run.number} at ${run.percent}%, ${run.upstream} leaves in $left")
        val step = run.step
        // Stopping one member of a gang ends the others too.
        if (step != null && step.spec.gang) runs.stopAll(step) else runs.stop(run)
    }

    private companion object {
        const val FULL_PERCENT = 100L
    }
}
