package org.anvilbarrow.benchmarks.baseline

import org.anvilbarrow.protocol.model.Resources

/** Best-fit-decreasing: knows every task beforehand, takes the largest first and the tightest upstream for each. */
internal object OfflinePacker {
    /** Returns what of [tasks] fits on upstreams with [capacities]. */
    fun pack(
        tasks: List<Resources>,
        capacities: List<Resources>,
    ): Resources {
        if (capacities.isEmpty()) return Resources.NONE
        val largest = capacities.reduce(::largestOf)
        val free = capacities.toMutableList()
        var packed = Resources.NONE
        for (task in tasks.sortedByDescending { dominantShare(it, largest) }) {
            val best = free.indices.filter { task.fitsIn(free[it]) }.minByOrNull { totalShare(free[it], largest) }
            if (best != null) {
                free[best] -= task
                packed += task
            }
        }
        return packed
    }

    /** Returns the share of every resource of [whole] that [part] is; resources that [whole] lacks count as 0. */
    fun shares(
        part: Resources,
        whole: Resources,
    ): List<Double> =
        listOf(
            share(part.cpuMillicores, whole.cpuMillicores),
            share(part.memoryMebibytes, whole.memoryMebibytes),
            share(part.accelerators, whole.accelerators),
            share(part.slots, whole.slots),
            share(part.connections, whole.connections),
        )

    private fun dominantShare(
        part: Resources,
        whole: Resources,
    ): Double = shares(part, whole).max()

    private fun totalShare(
        part: Resources,
        whole: Resources,
    ): Double = shares(part, whole).sum()

    private fun share(
        part: Int,
        whole: Int,
    ): Double = if (whole == 0) 0.0 else part.toDouble() / whole

    private fun largestOf(
        first: Resources,
        second: Resources,
    ): Resources =
        Resources(
            maxOf(first.cpuMillicores, second.cpuMillicores),
            maxOf(first.memoryMebibytes, second.memoryMebibytes),
            maxOf(first.accelerators, second.accelerators),
            maxOf(first.slots, second.slots),
            maxOf(first.connections, second.connections),
        )
}
