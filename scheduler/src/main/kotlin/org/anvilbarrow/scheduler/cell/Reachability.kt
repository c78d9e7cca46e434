package org.anvilbarrow.scheduler.cell

import java.time.Duration
import java.time.Instant
import java.util.concurrent.atomic.AtomicIntegerArray

/**
 * Tracks whether this process is cut off from the owner of each shard.
 *
 * This covers a VM that a network partition separates from the rest of the cell while callers still reach it: the
 * process cannot serve them, and waiting for a new owner is in vain. Updated on the control thread, read on any thread.
 */
internal class Reachability(
    shards: Int,
) {
    private class Outage(
        val owner: String?,
        val since: Instant,
    )

    private val outages = arrayOfNulls<Outage>(shards)
    private val cutOff = AtomicIntegerArray(shards)

    /** Records whether the [owner] of [shard] is connected, and whether the store shows that a new one is expected. */
    fun update(
        shard: Int,
        owner: String?,
        isConnected: Boolean,
        expectsOwner: Boolean,
        now: Instant,
    ) {
        val outage = if (isConnected) null else outages[shard]?.takeIf { it.owner == owner } ?: Outage(owner, now)
        outages[shard] = outage
        val isCutOff = outage != null && !expectsOwner && Duration.between(outage.since, now) > TAKEOVER_TIME
        cutOff.set(shard, if (isCutOff) 1 else 0)
    }

    /** True if the owner of [shard] has been unreachable for longer than a takeover takes and none is expected. */
    fun isCutOff(shard: Int): Boolean = cutOff.get(shard) == 1

    private companion object {
        /** A silent owner is replaced after 1.25 s, and its successor is connected 0.1 s later. */
        val TAKEOVER_TIME: Duration = Duration.ofMillis(1_400)
    }
}
