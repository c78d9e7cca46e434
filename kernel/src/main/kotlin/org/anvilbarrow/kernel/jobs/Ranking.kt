package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Ranks steps by what callers still get from them; steps of queues without configuration have no rank. */
internal class Ranking(
    private val state: CellState,
) {
    fun queueOf(step: StepRun): QueueConfig =
        checkNotNull(state.queueOf(step.job)) { "queue ${step.job.queue} is not configured" }

    fun of(step: StepRun): Rank {
        val queue = queueOf(step)
        val start = step.job.dueAt(step.ref.occurrence)
        val objective = objective(step.job, queue)
        val remaining = step.spec.estimate
        val lateness =
            when {
                state.now.plus(remaining).isBefore(start.plus(objective)) -> 0
                state.now.isBefore(start.plus(objective.scaled(state.limits.lateFactor))) -> 1
                else -> 2
            }
        return Rank(lateness, queue.priority, start.plus(objective))
    }

    /** Returns how long a caller of [queue] expects [job] to take. */
    fun objective(
        job: JobRun,
        queue: QueueConfig,
    ): Duration {
        val advice = queue.advice?.cost(ADVISED_UPSTREAMS) ?: Duration.ZERO
        return job.criticalPath
            .plus(advice)
            .scaled(queue.stretch)
            .plus(queue.targetDuration)
    }

    private fun Duration.scaled(factor: Double): Duration = Duration.ofMillis((toMillis() * factor).toLong())

    private companion object {
        /** Upstreams named in the call for advice that a latency objective contains. */
        const val ADVISED_UPSTREAMS = 30
    }
}
