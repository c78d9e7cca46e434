package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/** Logs the latency breakdown of each job when it ends. */
internal class JobLatencyRecorder(
    private val state: CellState,
) {
    private val ranking = Ranking(state)

    /** Logs the latency breakdown of [job], which has just ended. */
    fun record(job: JobRun): Unit = state.decided("job-ended", job.id, breakdownOf(job).format())

    private fun breakdownOf(job: JobRun): JobLatencyBreakdown {
        val due = job.dueAt(job.openedOccurrences - 1)
        val attribution = TimeAttribution(due)
        val path = criticalPath(job)
        attribution.attribute(path.firstOrNull()?.openedAt ?: state.now, DelayCause.EARLIER_OWNER)
        job.storedAt?.let { attribution.attribute(it, DelayCause.STORE) }
        for (step in path) {
            step.advice.firstAnswerAt?.let { attribution.attribute(it, DelayCause.ADVICE) }
            attribution.attribute(step.placedAt ?: state.now, DelayCause.CAPACITY)
            attribution.addWork(step.spec.estimate, step.doneAt ?: state.now)
        }
        // A job that is cancelled between two steps ends later than its last step.
        attribution.attribute(state.now, DelayCause.CAPACITY)
        return JobLatencyBreakdown(
            queue = job.queue,
            phase = job.phase,
            coreTime = Duration.ofMillis(coreMillis(job)),
            took = attribution.total,
            objective = state.queueOf(job)?.let { ranking.objective(job, it) } ?: Duration.ZERO,
            delays = attribution.delays,
            work = attribution.work,
            repeats = job.steps.values.sumOf { it.repeats },
        )
    }

    /** Calculates in floating point, as sizes given by callers may overflow a long. */
    private fun coreMillis(job: JobRun): Long =
        job.spec.steps
            .sumOf { it.tasks.toDouble() * it.resources.cpuMillicores / MILLI * it.estimate.toMillis() }
            .toLong()

    /** Returns, in order, the step that ended last or still runs, and the chain of its dependencies that ended last. */
    private fun criticalPath(job: JobRun): List<StepRun> {
        val opened = job.steps.values.filter { it.openedAt != null }
        val last = opened.maxByOrNull { it.doneAt ?: Instant.MAX }
        return generateSequence(last) { step ->
            step.spec.dependsOn
                .mapNotNull { job.steps[step.ref.copy(step = it)] }
                .filter { it.openedAt != null }
                .maxByOrNull { it.doneAt ?: Instant.MIN }
        }.toList().asReversed()
    }

    /** Attributes the time since [start] to work and causes of delay, which are given in order of time. */
    private class TimeAttribution(
        private val start: Instant,
    ) {
        private var attributedUntil = start
        val delays = DelayCause.entries.associateWithTo(LinkedHashMap()) { Duration.ZERO }
        var work: Duration = Duration.ZERO
            private set
        val total: Duration get() = Duration.between(start, attributedUntil)

        fun attribute(
            end: Instant,
            cause: DelayCause,
        ) {
            if (!end.isAfter(attributedUntil)) return
            delays.merge(cause, Duration.between(attributedUntil, end), Duration::plus)
            attributedUntil = end
        }

        fun addWork(
            estimate: Duration,
            end: Instant,
        ) {
            val worked = minOf(estimate, maxOf(Duration.between(attributedUntil, end), Duration.ZERO))
            work += worked
            attributedUntil += worked
            attribute(end, DelayCause.BEYOND_ESTIMATE)
        }
    }

    private companion object {
        const val MILLI = 1_000
    }
}
