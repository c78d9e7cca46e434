package org.anvilbarrow.benchmarks.baseline

import org.anvilbarrow.benchmarks.cell.Cell
import org.anvilbarrow.benchmarks.measure.Packing
import org.anvilbarrow.benchmarks.measure.PackingSample
import org.anvilbarrow.benchmarks.measure.Waits
import org.anvilbarrow.benchmarks.simulation.Scenario
import org.anvilbarrow.benchmarks.simulation.Timeline
import org.anvilbarrow.benchmarks.workload.Arrival
import org.anvilbarrow.protocol.model.Resources
import org.apache.commons.math3.random.Well19937c

/** One task of an arrival; the request has started when its last task has. */
internal class BaselineTask(
    val arrival: Arrival,
    private val request: BaselineRequest,
) {
    val resources: Resources = arrival.share.resources

    fun started(): Boolean = --request.tasksToStart == 0
}

/** Counts the tasks of a request that have not started. */
internal class BaselineRequest(
    var tasksToStart: Int,
)

/** Runs a [Baseline] on the arrivals of a scenario; it ignores urgency, deadlines and faults. */
internal class BaselineSimulation(
    private val baseline: Baseline,
    private val scenario: Scenario,
) {
    private val timeline = Timeline()
    private val random = Well19937c(scenario.seed)
    val cell: Cell = Cell(scenario.shape)
    private val regions =
        cell.upstreams.groupBy { it.place.region }.mapValues { (_, members) ->
            Region(members.map { BaselineUpstream(it.spec.capacity) })
        }

    val waits: Waits = Waits()
    val packing: Packing = Packing()

    fun run(arrivals: List<Arrival>) {
        arrivals.forEach { arrival -> timeline.at(arrival.atMicros) { arrive(arrival) } }
        timeline.every(Packing.SAMPLE_MICROS, scenario.firstSampleMicros) { sample() }
        timeline.runUntil(scenario.endMicros)
    }

    private fun arrive(arrival: Arrival) {
        waits.offered(arrival.share.waitClass)
        val region = regions.getValue(arrival.region)
        val request = BaselineRequest(arrival.share.tasks)
        repeat(arrival.share.tasks) {
            val task = BaselineTask(arrival, request)
            val upstream = baseline.assign(region.upstreams, random, timeline.nowMicros)
            (upstream?.queue ?: region.queue).addLast(task)
            if (upstream == null) drain(region) else drain(region, upstream)
        }
    }

    /** Starts the tasks at the head of an upstream's queue. */
    private fun drain(
        region: Region,
        upstream: BaselineUpstream,
    ) {
        while (upstream.queue
                .firstOrNull()
                ?.resources
                ?.fitsIn(upstream.free) == true
        ) {
            start(region, upstream, upstream.queue.removeFirst())
        }
    }

    /** Starts the tasks at the head of the region's queue. */
    private fun drain(region: Region) {
        while (true) {
            val task = region.queue.firstOrNull() ?: return
            val upstream = region.upstreams.firstOrNull { task.resources.fitsIn(it.free) } ?: return
            start(region, upstream, region.queue.removeFirst())
        }
    }

    private fun start(
        region: Region,
        upstream: BaselineUpstream,
        task: BaselineTask,
    ) {
        upstream.free -= task.resources
        upstream.runningTasks++
        region.running += task
        if (task.started()) waits.started(task.arrival.share.waitClass, timeline.nowMicros - task.arrival.atMicros)
        timeline.after(task.arrival.runMicros) {
            upstream.free += task.resources
            upstream.runningTasks--
            region.running -= task
            drain(region, upstream)
            drain(region)
        }
    }

    private fun sample() = packing.add(regions.values.map { it.sample() })

    private class Region(
        val upstreams: List<BaselineUpstream>,
    ) {
        val queue: ArrayDeque<BaselineTask> = ArrayDeque()
        val running: MutableSet<BaselineTask> = LinkedHashSet()

        fun sample(): PackingSample {
            val waiting = queue + upstreams.flatMap { it.queue }
            return PackingSample(
                used = running.fold(Resources.NONE) { sum, task -> sum + task.resources },
                capacities = upstreams.map { it.capacity },
                tasks = (running + waiting).map { it.resources },
            )
        }
    }
}
