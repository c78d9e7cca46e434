package org.anvilbarrow.kernel.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.anvilbarrow.kernel.home.PlacementKey

/**
 * Queued requests in one lane per workload, each in order of arrival.
 *
 * All requests of a lane need the same resources: if its head cannot be placed, none can.
 */
internal data class RequestQueue(
    val lanes: PersistentMap<String, PersistentSet<PlacementKey>> = persistentMapOf(),
    val size: Int = 0,
) {
    fun add(
        workload: String,
        key: PlacementKey,
    ): RequestQueue {
        val lane = lanes[workload] ?: persistentSetOf()
        if (key in lane) return this
        return RequestQueue(lanes.put(workload, lane.add(key)), size + 1)
    }

    fun remove(
        workload: String,
        key: PlacementKey,
    ): RequestQueue {
        val lane = lanes[workload] ?: return this
        if (key !in lane) return this
        val rest = lane.remove(key)
        val remaining = if (rest.isEmpty()) lanes.remove(workload) else lanes.put(workload, rest)
        return RequestQueue(remaining, size - 1)
    }
}
