package org.anvilbarrow.benchmarks.report

import org.anvilbarrow.benchmarks.baseline.Baseline
import org.anvilbarrow.benchmarks.baseline.BaselineSimulation
import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.measure.Packing
import org.anvilbarrow.benchmarks.measure.PackingSample
import org.anvilbarrow.benchmarks.simulation.CellSimulation
import org.anvilbarrow.benchmarks.simulation.MICROS_PER_SECOND
import org.anvilbarrow.benchmarks.simulation.Scenario
import org.anvilbarrow.benchmarks.workload.WorkloadMix
import org.anvilbarrow.benchmarks.workload.arrivals
import org.anvilbarrow.protocol.model.Resources

/** Name of the real scheduler in reports. */
internal const val ANVILBARROW: String = "anvilbarrow"

/** Runs the real kernels under [scenario]. */
internal fun runKernels(scenario: Scenario): RunReport {
    val simulation = CellSimulation(scenario.shape, scenario.mix, limits = scenario.limits)
    val packing = Packing()
    val timeline = simulation.timeline
    simulation.offer(arrivals(scenario.arrivalPlan, simulation.cell))
    timeline.at(scenario.faultAtMicros) { simulation.inject(scenario.fault) }
    timeline.every(Packing.SAMPLE_MICROS, scenario.firstSampleMicros) { packing.add(samplesOf(simulation)) }
    timeline.runUntil(scenario.arrivalPlan.firstMicros)
    val before = simulation.network.cost.snapshot()
    timeline.runUntil(scenario.endMicros)
    val cost = simulation.network.cost.since(before)
    return RunReport(
        user = scenario.mix.name,
        cell = scenario.shape.name,
        upstreams = scenario.shape.upstreams,
        scheduler = ANVILBARROW,
        load = scenario.load,
        fault = scenario.fault.label,
        seed = scenario.seed,
        arrivalSeconds = scenario.arrivalSeconds,
        waits = reportOf(simulation.waits),
        packing = reportOf(packing),
        control = reportOf(cost, simulation.waits.started, scenario.arrivalSeconds, simulation.logAppends),
        safety = safetyOf(simulation),
        stepMicros = stepsOf(simulation),
    )
}

/** Runs [baseline] on the arrivals of [scenario]. */
internal fun runBaseline(
    baseline: Baseline,
    scenario: Scenario,
): RunReport {
    val simulation = BaselineSimulation(baseline, scenario)
    simulation.run(arrivals(scenario.arrivalPlan, simulation.cell))
    return RunReport(
        user = scenario.mix.name,
        cell = scenario.shape.name,
        upstreams = scenario.shape.upstreams,
        scheduler = baseline.label,
        load = scenario.load,
        fault = scenario.fault.label,
        seed = scenario.seed,
        arrivalSeconds = scenario.arrivalSeconds,
        waits = reportOf(simulation.waits),
        packing = reportOf(simulation.packing),
    )
}

private fun samplesOf(simulation: CellSimulation): List<PackingSample> {
    val present = (simulation.waiting.values + simulation.running.values).groupBy { it.region }
    return simulation.upstreams.values
        .filter { it.alive }
        .groupBy { it.described.place.region }
        .map { (region, upstreams) ->
            PackingSample(
                used = upstreams.fold(Resources.NONE) { sum, upstream -> sum + upstream.used },
                capacities = upstreams.map { it.described.spec.capacity },
                tasks =
                    present[region].orEmpty().flatMap { arrival ->
                        List(arrival.share.tasks) { arrival.share.resources }
                    },
            )
        }
}

/** Runs a cell of [shape] without requests for [seconds]. */
internal fun runIdle(
    shape: CellShape,
    mix: WorkloadMix,
    seconds: Long = 20,
): IdleReport {
    val heapBefore = usedHeapBytes()
    val simulation = CellSimulation(shape, mix)
    simulation.timeline.runUntil(Scenario.WARM_UP_SECONDS * MICROS_PER_SECOND)
    val before = simulation.network.cost.snapshot()
    val stepsBefore = simulation.nodes.mapValues { it.value.stepNanosTotal }
    simulation.timeline.runUntil((Scenario.WARM_UP_SECONDS + seconds) * MICROS_PER_SECOND)
    val cost = simulation.network.cost.since(before)
    val coreShares =
        simulation.nodes.map { (id, node) ->
            (node.stepNanosTotal - stepsBefore.getValue(id)).toDouble() / seconds / NANOS_PER_SECOND
        }
    val heap = usedHeapBytes() - heapBefore
    val schedulerRates = simulation.nodes.keys.map { (cost.nodeBytes[it.value] ?: 0).toDouble() / seconds }
    val upstreamRates = simulation.upstreams.keys.map { (cost.nodeBytes[it.value] ?: 0).toDouble() / seconds }
    return IdleReport(
        cell = shape.name,
        upstreams = shape.upstreams,
        schedulers = simulation.nodes.size,
        seconds = seconds,
        schedulerBytesPerSecondMean = schedulerRates.average(),
        schedulerBytesPerSecondMax = schedulerRates.max(),
        upstreamBytesPerSecondMax = upstreamRates.max(),
        crossRegionBytesPerSecond = cost.crossRegionBytes.toDouble() / seconds,
        messagesPerSecondByKind = cost.kinds.mapValues { it.value.messages.toDouble() / seconds },
        bytesPerSecondByKind = cost.kinds.mapValues { it.value.bytes.toDouble() / seconds },
        stepCoreShareMean = coreShares.average(),
        stepCoreShareMax = coreShares.max(),
        heapBytesPerScheduler = heap / simulation.nodes.size,
    )
}

private const val NANOS_PER_SECOND = 1e9

private fun usedHeapBytes(): Long {
    val runtime = Runtime.getRuntime()
    repeat(2) { runtime.gc() }
    return runtime.totalMemory() - runtime.freeMemory()
}
