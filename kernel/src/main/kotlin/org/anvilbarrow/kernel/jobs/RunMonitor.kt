package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Finds runs whose order has no answer, that do not progress, or whose gang does not assemble. */
internal class RunMonitor(
    private val state: CellState,
    private val runs: RunController,
) {
    private val limits get() = state.limits

    /** Sends unanswered orders again and stops runs that are stuck or gangs that do not assemble. */
    fun tick() {
        state.upstreams.values
            .flatMap { it.runs.values.toList() }
            .forEach { run ->
                when {
                    run.orderInFlight -> Unit
                    run.status == Run.Status.STOPPING && run.answeredAt == null && isOrderDue(run) -> runs.sendStop(run)
                    run.status == Run.Status.STARTING && isOrderDue(run) -> run.step?.let { runs.sendStart(run, it) }
                    run.status == Run.Status.STARTED && isStuck(run) -> stuck(run)
                }
            }
        state.jobs.values
            .filter { !it.phase.isFinal && !it.blockedByTakeover }
            .flatMap { it.steps.values }
            .filter { it.spec.gang && it.active.isNotEmpty() && !it.isDone }
            .forEach(::checkGang)
    }

    private fun isOrderDue(run: Run): Boolean = !state.now.isBefore(run.nextOrderAt)

    private fun isStuck(run: Run): Boolean {
        val step = run.step ?: return false
        return !step.spec.longRunning &&
            run.percent < Run.COMPLETE_PERCENT &&
            run.upstream.failedObservations == 0 &&
            run.upstream.seenAt?.isAfter(run.progressedAt.plus(patience(run, step))) == true
    }

    /**
     * How long [run] may stay at one percentage.
     *
     * A long task, or one on a slow upstream, needs seconds for each percent. One whose length nobody knows is given
     * twice the time after each run of it that was taken as stuck.
     */
    private fun patience(
        run: Run,
        step: StepRun,
    ): Duration {
        val estimated = step.spec.estimate.dividedBy(WHOLE)
        val measured =
            if (run.percent > 0) {
                Duration.between(run.startedAt, run.progressedAt).dividedBy(run.percent.toLong())
            } else {
                Duration.ZERO
            }
        val forOnePercent = maxOf(estimated, measured).multipliedBy(PERCENTS_WITHOUT_PROGRESS)
        val doublings = minOf(step.stuckRuns[run.task.index] ?: 0, MOST_DOUBLINGS)
        return maxOf(limits.stuckAfter, forOnePercent).multipliedBy(1L shl doublings)
    }

    private fun stuck(run: Run) {
        state.decided("run-stuck", run.task, "run ${run.number} on ${run.upstream} stays at ${run.percent}%")
        run.upstream.failed(state.now, limits)
        run.step?.let {
            it.failedOn.add(run.upstream)
            it.stuckRuns.merge(run.task.index, 1, Int::plus)
        }
        runs.stop(run)
    }

    /** A gang of which a member is missing never works; the others are stopped before they wait in vain. */
    private fun checkGang(step: StepRun) {
        if (step.active.size + step.done.cardinality() < step.spec.tasks) {
            runs.stopAll(step)
            return
        }
        val unconfirmed = step.active.values.filter { it.status == Run.Status.STARTING }
        val oldest = unconfirmed.minOfOrNull { it.startedAt } ?: return
        if (Duration.between(oldest, state.now) > limits.gangStartTimeout) {
            state.decided("gang-incomplete", step, "${unconfirmed.size} member(s) did not answer")
            runs.stopAll(step)
        }
    }

    private companion object {
        const val WHOLE = 100L

        /** A run that needs three times as long for a percent as for the ones before is stuck. */
        const val PERCENTS_WITHOUT_PROGRESS = 3L

        /** With 3.5 s at first, the longest patience is about four minutes. */
        const val MOST_DOUBLINGS = 6
    }
}
