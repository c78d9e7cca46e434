package org.anvilbarrow.benchmarks.measure

import org.anvilbarrow.benchmarks.baseline.OfflinePacker
import org.anvilbarrow.protocol.model.Resources

/** What tasks use on the upstreams of one region, and all tasks that the region could run. */
internal data class PackingSample(
    val used: Resources,
    val capacities: List<Resources>,
    val tasks: List<Resources>,
)

/** Mean over the samples of a run of the share of the resource that is used most. */
internal class Packing {
    private val used = ArrayList<Double>()
    private val offline = ArrayList<Double>()

    /** Adds [samples], one for each region, taken at the same moment. */
    fun add(samples: List<PackingSample>) {
        val capacity = samples.flatMap { it.capacities }.sum()
        val packed = samples.map { OfflinePacker.pack(it.tasks, it.capacities) }.sum()
        offline += OfflinePacker.shares(packed, capacity).max()
        used += OfflinePacker.shares(samples.map { it.used }.sum(), capacity).max()
    }

    val samples: Int get() = used.size
    val usedShare: Double get() = used.average()
    val offlineShare: Double get() = offline.average()

    /** Used share in parts of what the offline packer reaches with the same tasks. */
    val ratio: Double get() = if (offlineShare == 0.0) 1.0 else usedShare / offlineShare

    companion object {
        /** Time between two samples. */
        const val SAMPLE_MICROS: Long = 5_000_000
    }

    private fun List<Resources>.sum(): Resources = fold(Resources.NONE, Resources::plus)
}
