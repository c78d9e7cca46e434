package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Resends unanswered orders, and stops runs that are stuck or whose gang does not assemble. */
internal class RunMonitor(
    private val state: CellState,
    private val runs: RunController,
) {
    private val limits get() = state.limits

    fun tick() {
        state.upstreams.values
            .flatMap { it.runs.values.toList() }
            .forEach { run ->
                when {
                    run.orderInFlight -> Unit
                    run.status == Run.Status.STOPPING && run.answeredAt == null && isOrderDue(run) -> runs.sendStop(run)
                    run.status == Run.Status.STARTING &&
                        isOrderDue(
                            run,
                        ) &&
                        mayRepeatStart(run) -> run.step?.let { runs.sendStart(run, it) }
                    run.status == Run.Status.STARTED && isStuck(run) -> stopStuck(run)
                }
            }
        state.jobs.values
            .filter { !it.phase.isFinal && !it.blockedByTakeover }
            .flatMap { it.steps.values }
            .filter { it.spec.gang && it.active.isNotEmpty() && !it.isDone }
            .forEach(::checkGang)
    }

    private fun isOrderDue(run: Run): Boolean = !state.now.isBefore(run.nextOrderAt)

    /** A broken connection may mean that the order crashed the upstream, and a repetition would do so once more. */
    private fun mayRepeatStart(run: Run): Boolean =
        !run.isConnectionBroken || run.upstream.seenAt?.isAfter(run.lastStartSentAt) == true

    private fun isStuck(run: Run): Boolean {
        val step = run.step ?: return false
        return !step.spec.longRunning &&
            run.percent < Run.COMPLETE_PERCENT &&
            run.upstream.failedObservations == 0 &&
            run.upstream.seenAt?.isAfter(run.progressedAt.plus(stuckTimeout(run, step))) == true
    }

    /**
     * Returns how long [run] may stay at one percentage before it counts as stuck.
     *
     * Long tasks, and tasks on slow upstreams, need seconds for each percent. The timeout doubles with each run of the
     * task that was stopped as stuck, so that a task far longer than its estimate still completes.
     */
    private fun stuckTimeout(
        run: Run,
        step: StepRun,
    ): Duration {
        val estimated = step.expected.dividedBy(FULL_PERCENT)
        val measured =
            if (run.percent > 0) {
                Duration.between(run.startedAt, run.progressedAt).dividedBy(run.percent.toLong())
            } else {
                Duration.ZERO
            }
        val byPace = maxOf(estimated, measured).multipliedBy(STUCK_FACTOR)
        val doublings = minOf(step.stuckRuns[run.task.index] ?: 0, MAX_DOUBLINGS)
        return maxOf(limits.stuckAfter, byPace).multipliedBy(1L shl doublings)
    }

    private fun stopStuck(run: Run) {
        state.decided(
            "run-stuck",
            run.task,
            "run ${run.number} on ${run.upstream} is stuck at ${run.percent}%",
        )
        run.upstream.failed(state.now, limits)
        run.step?.let {
            it.failedOn.add(run.upstream)
            it.stuckRuns.merge(run.task.index, 1, Int::plus)
        }
        runs.stop(run)
    }

    /** A gang does no work while a member is missing, so the remaining members are stopped. */
    private fun checkGang(step: StepRun) {
        if (step.active.size + step.done.cardinality() < step.spec.tasks) {
            runs.stopAll(step)
            return
        }
        val unconfirmed = step.active.values.filter { it.status == Run.Status.STARTING }
        val oldest = unconfirmed.minOfOrNull { it.startedAt } ?: return
        if (Duration.between(oldest, state.now) > limits.gangStartTimeout) {
            state.decided("gang-incomplete", step, "${unconfirmed.size} member(s) did not confirm their start")
            runs.stopAll(step)
        }
    }

    private companion object {
        const val FULL_PERCENT = 100L

        /** A run is stuck if one percent takes three times as long as its average so far. */
        const val STUCK_FACTOR = 3L

        /** Bounds the timeout: a minimum of 3.5 s grows to about four minutes. */
        const val MAX_DOUBLINGS = 6
    }
}
