package org.anvilbarrow.benchmarks.report

import java.util.Locale

/** Writes a report as tables for a terminal. */
internal fun tableOf(report: BenchmarkReport): String =
    listOf(
        waitTable(report.runs),
        controlTable(report.runs.filter { it.control != null }),
        idleTable(report.idle),
    ).filter { it.isNotEmpty() }.joinToString("\n\n")

private fun waitTable(runs: List<RunReport>): String {
    if (runs.isEmpty()) return ""
    val header =
        listOf("user", "scheduler", "load", "fault", "class", "offered", "started", "refused", "unknown") +
            listOf("p50 ms", "p99 ms", "p99.9 ms", "used", "of offline")
    val rows =
        runs.flatMap { run ->
            run.waits.map { (waitClass, wait) ->
                listOf(run.user, run.scheduler, format(run.load), run.fault, waitClass) +
                    listOf(wait.offered, wait.started, wait.refused, wait.unknown).map { it.toString() } +
                    listOf(wait.p50Millis, wait.p99Millis, wait.p999Millis).map(::format) +
                    listOf(run.packing.usedShare, run.packing.ratioToOffline).map(::format)
            }
        }
    return aligned(header, rows)
}

private fun controlTable(runs: List<RunReport>): String {
    if (runs.isEmpty()) return ""
    val header =
        listOf(
            "user",
            "upstreams",
            "load",
            "fault",
            "placements",
            "request msgs/pl",
            "request B/pl",
            "all msgs/pl",
            "all B/pl",
        ) +
            listOf("cross-region B/pl", "cross-region B/s", "log appends", "overcommits", "repeats")
    val rows =
        runs.mapNotNull { run ->
            val control = run.control ?: return@mapNotNull null
            listOf(run.user, run.upstreams.toString(), format(run.load), run.fault, control.placements.toString()) +
                listOf(
                    control.requestMessagesPerPlacement,
                    control.requestBytesPerPlacement,
                    control.allMessagesPerPlacement,
                    control.allBytesPerPlacement,
                    control.crossRegionBytesPerPlacement,
                    control.crossRegionBytesPerSecond,
                ).map(::format) +
                listOf(control.logAppends, run.safety?.overcommits, run.safety?.repeatedStarts).map { it.toString() }
        }
    return aligned(header, rows)
}

private fun idleTable(idle: List<IdleReport>): String {
    if (idle.isEmpty()) return ""
    val header =
        listOf("idle cell", "upstreams", "schedulers", "scheduler B/s", "max", "upstream B/s max") +
            listOf("cross-region B/s", "core share", "max", "heap KiB/scheduler")
    val rows =
        idle.map {
            listOf(it.cell, it.upstreams.toString(), it.schedulers.toString()) +
                listOf(
                    it.schedulerBytesPerSecondMean,
                    it.schedulerBytesPerSecondMax,
                    it.upstreamBytesPerSecondMax,
                    it.crossRegionBytesPerSecond,
                ).map(::format) +
                listOf(it.stepCoreShareMean, it.stepCoreShareMax).map { share -> "%.4f".format(Locale.ROOT, share) } +
                (it.heapBytesPerScheduler / BYTES_PER_KIBIBYTE).toString()
        }
    return aligned(header, rows)
}

private const val BYTES_PER_KIBIBYTE = 1024

private fun format(value: Double): String = "%.2f".format(Locale.ROOT, value)

private fun aligned(
    header: List<String>,
    rows: List<List<String>>,
): String {
    val widths = header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    return (listOf(header) + rows).joinToString("\n") { row ->
        row.mapIndexed { column, cell -> cell.padStart(widths[column]) }.joinToString("  ")
    }
}
