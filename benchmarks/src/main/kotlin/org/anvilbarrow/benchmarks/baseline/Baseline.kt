package org.anvilbarrow.benchmarks.baseline

import org.anvilbarrow.benchmarks.simulation.MICROS_PER_SECOND
import org.anvilbarrow.protocol.model.Resources
import org.apache.commons.math3.random.RandomGenerator

/** A simple scheduler on an ideal network, to compare with: messages take no time and none is lost. */
internal enum class Baseline(
    val label: String,
) {
    /** A random upstream; tasks wait there in order. */
    RANDOM("random"),

    /** The upstream with the fewest tasks as of the last full second; tasks wait there in order. */
    STALE_LEAST_LOADED("stale-least-loaded"),

    /** The one of two random upstreams with fewer tasks; tasks wait there in order. */
    POWER_OF_TWO("power-of-two"),

    /** One queue for a region; a task takes the first upstream that it fits on. */
    FIRST_FIT("first-fit"),
    ;

    /** Returns the upstream that a new task waits at, or null if it waits in the queue of the region. */
    fun assign(
        upstreams: List<BaselineUpstream>,
        random: RandomGenerator,
        nowMicros: Long,
    ): BaselineUpstream? =
        when (this) {
            RANDOM -> upstreams[random.nextInt(upstreams.size)]
            STALE_LEAST_LOADED -> upstreams.minBy { it.staleLoad(nowMicros / MICROS_PER_SECOND) }
            POWER_OF_TWO -> fewerTasks(upstreams, random)
            FIRST_FIT -> null
        }

    private fun fewerTasks(
        upstreams: List<BaselineUpstream>,
        random: RandomGenerator,
    ): BaselineUpstream {
        val first = upstreams[random.nextInt(upstreams.size)]
        val second = upstreams[random.nextInt(upstreams.size)]
        return if (second.load < first.load) second else first
    }
}

/** An upstream as baselines see it. */
internal class BaselineUpstream(
    val capacity: Resources,
) {
    val queue: ArrayDeque<BaselineTask> = ArrayDeque()
    var free: Resources = capacity
    var runningTasks: Int = 0
    private var staleSecond = -1L
    private var staleTasks = 0

    val load: Int get() = queue.size + runningTasks

    fun staleLoad(second: Long): Int {
        if (second != staleSecond) {
            staleSecond = second
            staleTasks = load
        }
        return staleTasks
    }
}
