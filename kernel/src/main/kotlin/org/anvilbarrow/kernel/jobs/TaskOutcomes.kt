package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.EndedTask
import org.anvilbarrow.protocol.jobs.RunEnd
import org.anvilbarrow.protocol.jobs.TaskRef

/** Applies the end of a run to its task and job: completion, retry or failure. */
internal class TaskOutcomes(
    private val state: CellState,
    private val jobs: JobController,
    private val crashes: CrashTracker,
    private val learner: RunTimeLearner,
) {
    /** Returns the step of [task], or null if the job, step or task is unknown. */
    fun stepOf(task: TaskRef): StepRun? =
        state.jobs[task.step.job]
            ?.steps
            ?.get(task.step)
            ?.takeIf { task.index in 0 until it.spec.tasks }

    /** Handles [row], the reported end of a run of [step] on [upstream]. */
    fun ended(
        step: StepRun,
        row: EndedTask,
        upstream: Upstream,
    ) {
        val index = row.task.index
        when (row.end) {
            RunEnd.DONE -> done(step, index, upstream)
            RunEnd.FAILED -> failed(step, row, upstream)
            else -> {
                state.decided("run-ended", row.task, "run ${row.run} on $upstream: ${row.end}")
                requeue(step, index)
            }
        }
    }

    private fun done(
        step: StepRun,
        index: Int,
        upstream: Upstream,
    ) {
        upstream.succeeded()
        if (step.spec.longRunning) return requeue(step, index)
        // The lease of this run had lapsed and another run was started, which now determines the outcome of the task.
        if (index in step.active) return
        if (step.spec.gang) step.done.set(0, step.spec.tasks) else step.done.set(index)
        if (step.spec.gang) step.waiting.clear() else step.waiting.clear(index)
        step.checkpoints -= index
        crashes.clear(step, index)
        if (step.isDone) learner.stepDone(step)
        jobs.taskDone(step)
    }

    private fun failed(
        step: StepRun,
        row: EndedTask,
        upstream: Upstream,
    ) {
        if (upstream.failed(state.now, state.limits)) {
            state.decided("upstream-set-aside", upstream, "consecutive runs failed, for ${state.limits.quarantine}")
        }
        val index = row.task.index
        step.failedOn += upstream
        // Run numbers, not a count: an end that was stored but not acknowledged is reported again to a successor.
        val failed = step.failures[index].orEmpty() + row.run
        val failure = if (step.spec.longRunning) "" else ", failure ${failed.size}"
        state.decided("run-failed", row.task, "run ${row.run} on $upstream$failure")
        // Long-running tasks may fail without limit, so their failures are not collected.
        if (step.spec.longRunning) return requeue(step, index)
        step.failures[index] = failed
        state.journal.changed(step.job)
        if (!failIfExhausted(step, index)) requeue(step, index)
    }

    /**
     * Fails the jobs whose tasks have used up their attempts.
     *
     * An end that arrives before the configuration finds no limit, and a new version may lower it, so this is called
     * for each version before any task starts under it.
     */
    fun configured() {
        val open = state.jobs.values.filter { !it.phase.isFinal }
        for (step in open.flatMap { it.steps.values }) {
            step.failures.keys.forEach { failIfExhausted(step, it) }
        }
    }

    /** Fails the job of [step] if task [index] has used up its attempts; returns true if the job has ended. */
    private fun failIfExhausted(
        step: StepRun,
        index: Int,
    ): Boolean {
        if (step.job.phase.isFinal) return true
        if (step.isDone || step.done.get(index)) return false
        val limit = state.queueOf(step.job)?.maxAttempts ?: return false
        val count = failureCount(step, index)
        if (count < limit) return false
        jobs.fail(step.job, "task $index of step ${step.ref.step} failed $count times")
        return true
    }

    /** The members of a gang share the number of a run, and several of them may fail in it. */
    private fun failureCount(
        step: StepRun,
        index: Int,
    ): Int {
        val counted = if (step.spec.gang) step.failures.values else listOfNotNull(step.failures[index])
        return counted.fold(emptySet<Long>(), Set<Long>::union).size
    }

    /** Makes task [index] waiting again, unless it is done, has a current run, or its job has ended. */
    fun requeue(
        step: StepRun,
        index: Int,
    ) {
        if (step.done.get(index) || step.job.phase.isFinal || index in step.active) return
        step.repeats++
        step.waiting.set(index)
        jobs.enqueueIfReady(step)
    }
}
