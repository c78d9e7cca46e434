package org.anvilbarrow.scheduler.account

import org.anvilbarrow.kernel.jobs.DelayCause
import org.anvilbarrow.kernel.jobs.JobLatencyBreakdown
import org.anvilbarrow.protocol.jobs.JobPhase

/**
 * Sums up from the decision log what kept the jobs of each queue from their objective.
 *
 * ```
 * val table = LossTable().apply { file.forEachLine(::read) }
 * println(table.text())
 * ```
 */
internal class LossTable {
    private class Cell {
        var jobs = 0
        var coreSeconds = 0.0
    }

    private val cells = sortedMapOf<String, LinkedHashMap<String, Cell>>()
    private var refused = 0
    private var leftOut = 0

    /** Takes in one line of a log; lines about other things are passed over. */
    fun read(line: String) {
        val found = LINE.find(line) ?: return
        val (kind, subject, detail) = found.destructured
        when (kind) {
            "job-ended" -> JobLatencyBreakdown.parse(detail)?.let(::add)
            "submission-refused" -> refused++
            "left-out" -> if (subject == "job-ended") leftOut += detail.substringBefore(' ').toIntOrNull() ?: 0
        }
    }

    private fun add(account: JobLatencyBreakdown) {
        val cell = cells.getOrPut(account.queue, ::LinkedHashMap).getOrPut(outcome(account), ::Cell)
        cell.jobs++
        cell.coreSeconds += account.coreTime.toMillis() / MILLIS_PER_SECOND
    }

    private fun outcome(account: JobLatencyBreakdown): String =
        when {
            account.phase != JobPhase.COMPLETED -> account.phase.name.lowercase()
            account.isInTime -> "in time"
            account.mainCause == DelayCause.BEYOND_ESTIMATE && account.repeats > 0 -> "late: runs repeated"
            else -> "late: ${CAUSES.getValue(account.mainCause)}"
        }

    /** Returns the table, the largest part of each queue first. */
    fun text(): String =
        buildString {
            appendLine("%-24s %-28s %8s %8s".format("queue", "outcome", "jobs", "work"))
            cells.forEach { (queue, outcomes) ->
                val all = outcomes.values.sumOf { it.coreSeconds }.coerceAtLeast(LEAST)
                outcomes.entries.sortedByDescending { it.value.coreSeconds }.forEach { (outcome, cell) ->
                    appendLine(
                        "%-24s %-28s %8d %7.1f%%".format(queue, outcome, cell.jobs, cell.coreSeconds / all * PERCENT),
                    )
                }
            }
            appendLine("Submissions refused by an owner: $refused.")
            if (leftOut > 0) appendLine("Jobs that the log left out: $leftOut; raise lines-per-second to see them.")
        }

    private companion object {
        val LINE = Regex("""event=(\S+) subject=(\S+) detail="([^"]*)"""")
        const val MILLIS_PER_SECOND = 1_000.0
        const val PERCENT = 100
        const val LEAST = 1e-9
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
