package org.anvilbarrow.scheduler.cell

import java.time.Duration
import java.time.Instant
import java.util.concurrent.atomic.AtomicIntegerArray

/**
 * Knows whether this process is cut off from the owner of each shard.
 *
 * It answers a VM that a network fault separates from the rest of the cell while callers still reach it: such a process
 * cannot serve them, and cannot learn of another owner as it does not reach the store either. Reviewed on the control
 * thread, asked on any thread.
 */
internal class Reachability(
    shards: Int,
) {
    private val lostSince = arrayOfNulls<Instant>(shards)
    private val cutOff = AtomicIntegerArray(shards)

    /** Takes in whether the owner of [shard] is connected and whether the store can be read. */
    fun review(
        shard: Int,
        reachesOwner: Boolean,
        readsStore: Boolean,
        now: Instant,
    ) {
        if (reachesOwner) {
            lostSince[shard] = null
            cutOff.set(shard, 0)
            return
        }
        val since = lostSince[shard] ?: now.also { lostSince[shard] = it }
        val isCutOff = !readsStore && Duration.between(since, now) > TAKEOVER
        cutOff.set(shard, if (isCutOff) 1 else 0)
    }

    /** True while neither the owner of [shard] nor the store is reached, for longer than a takeover takes. */
    fun isCutOff(shard: Int): Boolean = cutOff.get(shard) == 1

    private companion object {
        /** A silent owner is replaced after 1.25 s, and the next one is connected 0.1 s later. */
        val TAKEOVER: Duration = Duration.ofMillis(1_400)
    }
}
