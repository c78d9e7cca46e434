package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Ranks steps by whether they can still meet their latency objective. Their queues have to be configured. */
internal class Ranking(
    private val state: CellState,
) {
    fun queueOf(step: StepRun): QueueConfig =
        checkNotNull(state.queueOf(step.job)) { "queue ${step.job.queue} is not configured" }

    fun of(step: StepRun): Rank {
        val queue = queueOf(step)
        val start = step.job.dueAt(step.ref.occurrence)
        val objective = objective(step.job, queue)
        val remaining = step.expected
        val lateness =
            when {
                state.now.plus(remaining).isBefore(start.plus(objective)) -> 0
                state.now.isBefore(start.plus(objective.scaled(state.limits.lateFactor))) -> 1
                else -> 2
            }
        val beyondShare = step.job.beyondShare && state.limits.ranksBeyondShareLast
        return Rank(beyondShare, lateness, queue.priority, start.plus(objective))
    }

    /** Returns the latency objective of [job]: the time within which callers of [queue] expect its end. */
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
        /** Number of upstreams in the advice request that is part of a latency objective. */
        const val ADVISED_UPSTREAMS = 30
    }
}
