package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.runtimes.TaskRunTime
import java.time.Duration
import java.time.Instant

/**
 * Collects the run times of tasks that ended as done, and teaches them to the model of the shard step by step.
 *
 * Only runs whose time tells something about the task and its upstream count: not those that resumed from a checkpoint,
 * ran away from their data, shared spare processor time, or may have ended long before their end was reported.
 */
internal class RunTimeLearner(
    private val state: CellState,
) {
    /** Notes the time of [run] of [step], which has just been reported as done; it is not released yet. */
    fun ended(
        step: StepRun,
        run: Run,
    ) {
        if (!state.limits.learnsRunTimes || !isMeasured(step, run)) return
        if (step.spec.gang) return gangEnded(step, run)
        if (step.runTimes.size >= MAX_SAMPLES_PER_STEP) return
        step.runTimes += TaskRunTime(run.upstream.speed, timeSince(run.lastStartSentAt))
    }

    /** Learns from the runs of [step], which is done. */
    fun stepDone(step: StepRun) {
        if (step.runTimes.isEmpty()) return
        state.runTimes.learn(step.job.queue, step.spec.estimate, step.runTimes)
        step.runTimes.clear()
    }

    /** A gang works from the start of its last member on, at the pace of its slowest upstream. */
    private fun gangEnded(
        step: StepRun,
        run: Run,
    ) {
        val members = step.active.values
        if (step.isDone || members.size < step.spec.tasks || members.any { !isMeasured(step, it) }) return
        val slowest = members.minBy { it.upstream.speed.logarithm }.upstream.speed
        state.runTimes.learnGang(
            step.job.queue,
            step.spec.estimate,
            timeSince(maxOf(run.lastStartSentAt, members.maxOf { it.lastStartSentAt })),
            slowest,
        )
    }

    private fun isMeasured(
        step: StepRun,
        run: Run,
    ): Boolean {
        val spec = step.spec
        val isAtData = spec.dataRack == null || spec.dataRack == run.upstream.entry?.rack
        return !spec.longRunning &&
            !spec.usesSpareCapacity &&
            !spec.sameRack &&
            isAtData &&
            run.startAttempts == 1 &&
            run.checkpoint == null &&
            run.upstream.unobservedTime <= LONGEST_UNOBSERVED
    }

    private fun timeSince(start: Instant): Duration = Duration.between(start, state.now)

    private companion object {
        /** Bounds the memory of an open step. */
        const val MAX_SAMPLES_PER_STEP = 64

        /** Pause between two observations beyond which the time of an end is not known well enough. */
        val LONGEST_UNOBSERVED: Duration = Duration.ofMillis(300)
    }
}
