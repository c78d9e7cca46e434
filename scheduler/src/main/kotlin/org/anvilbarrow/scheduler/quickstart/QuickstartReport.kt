package org.anvilbarrow.scheduler.quickstart

import java.time.Duration

/** What the quickstart saw. */
internal class QuickstartReport(
    private val seen: List<Seen>,
    /** Faults that the audits of the upstreams or the stop show. */
    private val faults: List<String>,
    private val gang: String,
    private val gangTasks: Int,
) {
    private val missing =
        seen.filter {
            it.outcome !in OUTCOMES ||
                (it.outcome == CellClient.ANSWERED && it.detail != "")
        }

    /** True if every request got exactly one outcome and no upstream saw a fault. */
    val isGood: Boolean get() = missing.isEmpty() && faults.isEmpty()

    fun text(): String {
        val rows =
            seen.groupBy { it.workload }.map { (workload, all) ->
                val counts = OUTCOMES.map { outcome -> all.count { it.outcome == outcome } }
                row(listOf(workload, all.size) + counts + listOf("${millis(all, MEDIAN)} ms", "${millis(all, 1.0)} ms"))
            }
        val problems = missing.map { "${it.requestId}: ${it.outcome}: ${it.detail}" } + faults
        val end =
            if (isGood) {
                "Every request got one outcome; no upstream was overfilled and nothing ran twice."
            } else {
                problems.joinToString("\n")
            }
        val note = "A $gang request starts $gangTasks tasks at the same moment."
        return (listOf(row(HEADINGS)) + rows + listOf(note, end)).joinToString("\n")
    }

    private fun row(cells: List<Any>): String =
        cells.first().toString().padEnd(FIRST_WIDTH) + cells.drop(1).joinToString("") { it.toString().padStart(WIDTH) }

    private fun millis(
        all: List<Seen>,
        share: Double,
    ): Long {
        val sorted = all.mapNotNull(Seen::wait).sorted()
        return sorted.getOrElse(((sorted.size - 1) * share).toInt()) { Duration.ZERO }.toMillis()
    }

    private companion object {
        const val FIRST_WIDTH = 14
        const val WIDTH = 11
        const val MEDIAN = 0.5
        val OUTCOMES = listOf("answered", "refused", "unknown")
        val HEADINGS = listOf("workload", "requests", "answered", "refused", "unknown", "wait p50", "wait max")
    }
}
