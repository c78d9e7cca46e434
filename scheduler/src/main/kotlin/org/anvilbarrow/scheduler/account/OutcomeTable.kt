package org.anvilbarrow.scheduler.account

import org.anvilbarrow.kernel.jobs.DelayCause
import org.anvilbarrow.kernel.jobs.JobLatencyBreakdown
import org.anvilbarrow.protocol.jobs.JobPhase

/**
 * Counts the jobs of each queue by outcome, and by main cause of delay if late, from the lines of a decision log.
 *
 * ```
 * val table = OutcomeTable().apply { file.forEachLine(::read) }
 * println(table.text())
 * ```
 */
internal class OutcomeTable {
    private class Totals {
        var jobs = 0
        var coreSeconds = 0.0
    }

    private val totalsByQueue = sortedMapOf<String, LinkedHashMap<String, Totals>>()
    private var refused = 0
    private var suppressed = 0

    /** Reads one log line; ignores lines of other kinds. */
    fun read(line: String) {
        val found = LINE.find(line) ?: return
        val (kind, subject, detail) = found.destructured
        when (kind) {
            "job-ended" -> JobLatencyBreakdown.parse(detail)?.let(::add)
            "submission-refused" -> refused++
            "left-out" -> if (subject == "job-ended") suppressed += detail.substringBefore(' ').toIntOrNull() ?: 0
        }
    }

    private fun add(breakdown: JobLatencyBreakdown) {
        val totals = totalsByQueue.getOrPut(breakdown.queue, ::LinkedHashMap).getOrPut(outcome(breakdown), ::Totals)
        totals.jobs++
        totals.coreSeconds += breakdown.coreTime.toMillis() / MILLIS_PER_SECOND
    }

    private fun outcome(breakdown: JobLatencyBreakdown): String =
        when {
            breakdown.phase != JobPhase.COMPLETED -> breakdown.phase.name.lowercase()
            breakdown.isInTime -> "in time"
            breakdown.mainCause == DelayCause.BEYOND_ESTIMATE && breakdown.repeats > 0 -> "late: runs repeated"
            else -> "late: ${CAUSES.getValue(breakdown.mainCause)}"
        }

    /** Returns the table; within a queue, the outcome with the most core time comes first. */
    fun text(): String =
        buildString {
            appendLine("%-24s %-28s %8s %8s".format("queue", "outcome", "jobs", "work"))
            totalsByQueue.forEach { (queue, outcomes) ->
                val all = outcomes.values.sumOf { it.coreSeconds }.coerceAtLeast(MIN_CORE_SECONDS)
                outcomes.entries.sortedByDescending { it.value.coreSeconds }.forEach { (outcome, totals) ->
                    appendLine(
                        "%-24s %-28s %8d %7.1f%%"
                            .format(queue, outcome, totals.jobs, totals.coreSeconds / all * PERCENT),
                    )
                }
            }
            appendLine("Submissions refused by an owner: $refused.")
            if (suppressed > 0) appendLine("Jobs not logged: $suppressed; raise lines-per-second to see them.")
        }

    private companion object {
        val LINE = Regex("""event=(\S+) subject=(\S+) detail="([^"]*)"""")
        const val MILLIS_PER_SECOND = 1_000.0
        const val PERCENT = 100

        /** Avoids a division by zero. */
        const val MIN_CORE_SECONDS = 1e-9
        val CAUSES =
            mapOf(
                DelayCause.EARLIER_OWNER to "before this owner",
                DelayCause.STORE to "store",
                DelayCause.ADVICE to "advice",
                DelayCause.CAPACITY to "room",
                DelayCause.BEYOND_ESTIMATE to "longer than estimated",
            )
    }
}
