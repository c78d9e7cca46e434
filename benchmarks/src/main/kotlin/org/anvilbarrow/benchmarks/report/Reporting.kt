package org.anvilbarrow.benchmarks.report

import org.HdrHistogram.Histogram
import org.anvilbarrow.benchmarks.measure.ControlCost
import org.anvilbarrow.benchmarks.measure.Packing
import org.anvilbarrow.benchmarks.measure.Waits
import org.anvilbarrow.benchmarks.simulation.CellSimulation
import org.anvilbarrow.benchmarks.workload.WaitClass

/** Kinds of messages that a request causes; all others are sent whether requests arrive or not. */
private val requestKinds =
    setOf("Place", "Placed", "NotPlaced", "Reserve", "Reserved", "ReserveDenied", "TaskEnded", "Cancel")

private const val MICROS_PER_MILLI = 1000.0
private const val NANOS_PER_MICRO = 1000.0
private const val P50 = 50.0
private const val P99 = 99.0
private const val P999 = 99.9

internal fun reportOf(waits: Waits): Map<String, WaitReport> =
    WaitClass.entries
        .filter { waits.countsOf(it).offered > 0 }
        .associate { it.label to waitReport(waits.of(it), waits.countsOf(it)) }

private fun waitReport(
    histogram: Histogram,
    counts: Waits.Counts,
): WaitReport =
    WaitReport(
        offered = counts.offered,
        started = counts.started,
        refused = counts.refused,
        unknown = counts.unknown,
        p50Millis = histogram.getValueAtPercentile(P50) / MICROS_PER_MILLI,
        p99Millis = histogram.getValueAtPercentile(P99) / MICROS_PER_MILLI,
        p999Millis = histogram.getValueAtPercentile(P999) / MICROS_PER_MILLI,
    )

internal fun reportOf(packing: Packing): PackingReport =
    PackingReport(packing.usedShare, packing.offlineShare, packing.ratio)

internal fun reportOf(
    cost: ControlCost.Snapshot,
    placements: Long,
    seconds: Long,
    logAppends: Int,
): ControlReport {
    val forRequests = cost.kinds.filterKeys { it in requestKinds }.values
    val perPlacement = { amount: Long -> if (placements == 0L) 0.0 else amount.toDouble() / placements }
    return ControlReport(
        placements = placements,
        requestMessagesPerPlacement = perPlacement(forRequests.sumOf { it.messages }),
        requestBytesPerPlacement = perPlacement(forRequests.sumOf { it.bytes }),
        allMessagesPerPlacement = perPlacement(cost.messages),
        allBytesPerPlacement = perPlacement(cost.bytes),
        crossRegionBytesPerPlacement = perPlacement(cost.crossRegionBytes),
        crossRegionBytesPerSecond = cost.crossRegionBytes.toDouble() / seconds,
        messagesPerSecondByKind = cost.kinds.mapValues { it.value.messages.toDouble() / seconds },
        bytesPerSecondByKind = cost.kinds.mapValues { it.value.bytes.toDouble() / seconds },
        logAppends = logAppends,
    )
}

internal fun safetyOf(simulation: CellSimulation): SafetyReport =
    SafetyReport(simulation.upstreams.values.sumOf { it.overcommits }, simulation.repeatedStarts)

internal fun stepsOf(simulation: CellSimulation): Map<String, StepReport> {
    val merged = sortedMapOf<String, Histogram>()
    for (node in simulation.nodes.values) {
        node.stepNanos.forEach { (kind, histogram) -> merged.getOrPut(kind) { Histogram(2) }.add(histogram) }
    }
    return merged.mapValues { (_, histogram) ->
        StepReport(
            count = histogram.totalCount,
            meanMicros = histogram.mean / NANOS_PER_MICRO,
            p99Micros = histogram.getValueAtPercentile(P99) / NANOS_PER_MICRO,
            maxMicros = histogram.maxValue / NANOS_PER_MICRO,
        )
    }
}
