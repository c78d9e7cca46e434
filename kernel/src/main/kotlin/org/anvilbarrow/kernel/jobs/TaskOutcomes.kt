package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.EndedTask
import org.anvilbarrow.protocol.jobs.RunEnd
import org.anvilbarrow.protocol.jobs.TaskRef

/** Decides what the end of a run means for its task and job. */
internal class TaskOutcomes(
    private val state: CellState,
    private val jobs: JobController,
) {
    /** Returns the step of [task], or null if its job is not known. */
    fun stepOf(task: TaskRef): StepRun? =
        state.jobs[task.step.job]
            ?.steps
            ?.get(task.step)
            ?.takeIf { task.index in 0 until it.spec.tasks }

    /** A run of [step] on [upstream] ended as [row] says. */
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
                again(step, index)
            }
        }
    }

    private fun done(
        step: StepRun,
        index: Int,
        upstream: Upstream,
    ) {
        upstream.succeeded()
        if (step.spec.longRunning) return again(step, index)
        // Another run of the task was started after the lease of this one had lapsed; the task is that run's.
        if (index in step.active) return
        if (step.spec.gang) step.done.set(0, step.spec.tasks) else step.done.set(index)
        if (step.spec.gang) step.waiting.clear() else step.waiting.clear(index)
        step.checkpoints -= index
        jobs.taskDone(step)
    }

    private fun failed(
        step: StepRun,
        row: EndedTask,
        upstream: Upstream,
    ) {
        if (upstream.failed(state.now, state.limits)) {
            state.decided("upstream-set-aside", upstream, "runs failed in a row, for ${state.limits.quarantine}")
        }
        val index = row.task.index
        step.failedOn += upstream
        // The same end is listed again to a successor if it was stored and not acknowledged.
        val failed = step.failures.merge(index, setOf(row.run), Set<Long>::plus).orEmpty()
        state.decided("run-failed", row.task, "run ${row.run} on $upstream, failure ${failed.size}")
        state.journal.changed(step.job)
        val limit = state.queueOf(step.job)?.maxAttempts
        val counted = if (step.spec.gang) step.failures.values.sumOf { it.size } else failed.size
        if (step.spec.longRunning || limit == null || counted < limit) return again(step, index)
        if (!step.job.phase.isFinal) jobs.fail(step.job, "task $index of step ${step.ref.step} failed $counted times")
    }

    /** Task [index] has no run any more and is to be started again. */
    fun again(
        step: StepRun,
        index: Int,
    ) {
        if (step.done.get(index) || step.job.phase.isFinal || index in step.active) return
        step.repeats++
        step.waiting.set(index)
        jobs.enqueueIfReady(step)
    }
}
