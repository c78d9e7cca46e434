package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/** Writes down, at the end of each job, where its time went. */
internal class JobLatencyRecorder(
    private val state: CellState,
) {
    private val ranking = Ranking(state)

    /** Logs the account of [job], which has just ended. */
    fun close(job: JobRun): Unit = state.decided("job-ended", job.id, accountOf(job).format())

    private fun accountOf(job: JobRun): JobLatencyBreakdown {
        val due = job.dueAt(job.opened - 1)
        val ledger = Ledger(due)
        val chain = lastChain(job)
        ledger.until(chain.firstOrNull()?.openedAt ?: state.now, DelayCause.EARLIER_OWNER)
        job.storedAt?.let { ledger.until(it, DelayCause.STORE) }
        for (step in chain) {
            step.advice.firstAnswerAt?.let { ledger.until(it, DelayCause.ADVICE) }
            ledger.until(step.placedAt ?: state.now, DelayCause.CAPACITY)
            ledger.worked(step.spec.estimate, step.doneAt ?: state.now)
        }
        // A job that is cancelled between two steps ends later than its last step.
        ledger.until(state.now, DelayCause.CAPACITY)
        return JobLatencyBreakdown(
            queue = job.queue,
            phase = job.phase,
            coreTime = Duration.ofMillis(coreMillis(job)),
            took = ledger.total,
            objective = state.queueOf(job)?.let { ranking.objective(job, it) } ?: Duration.ZERO,
            delays = ledger.delays,
            work = ledger.work,
            repeats = job.steps.values.sumOf { it.repeats },
        )
    }

    /** Floating point, as sizes that callers make up may overflow a long. */
    private fun coreMillis(job: JobRun): Long =
        job.spec.steps
            .sumOf { it.tasks.toDouble() * it.resources.cpuMillicores / MILLI * it.estimate.toMillis() }
            .toLong()

    /** The steps from the one that ended last, or still runs, back along the dependencies that ended last. */
    private fun lastChain(job: JobRun): List<StepRun> {
        val opened = job.steps.values.filter { it.openedAt != null }
        val last = opened.maxByOrNull { it.doneAt ?: Instant.MAX }
        return generateSequence(last) { step ->
            step.spec.dependsOn
                .mapNotNull { job.steps[step.ref.copy(step = it)] }
                .filter { it.openedAt != null }
                .maxByOrNull { it.doneAt ?: Instant.MIN }
        }.toList().asReversed()
    }

    /** Divides the time since [start] among causes, in the order in which they are given. */
    private class Ledger(
        private val start: Instant,
    ) {
        private var at = start
        val delays = DelayCause.entries.associateWithTo(LinkedHashMap()) { Duration.ZERO }
        var work: Duration = Duration.ZERO
            private set
        val total: Duration get() = Duration.between(start, at)

        fun until(
            end: Instant,
            cause: DelayCause,
        ) {
            if (!end.isAfter(at)) return
            delays.merge(cause, Duration.between(at, end), Duration::plus)
            at = end
        }

        fun worked(
            estimate: Duration,
            end: Instant,
        ) {
            val worked = minOf(estimate, maxOf(Duration.between(at, end), Duration.ZERO))
            work += worked
            at += worked
            until(end, DelayCause.BEYOND_ESTIMATE)
        }
    }

    private companion object {
        const val MILLI = 1_000
    }
}
