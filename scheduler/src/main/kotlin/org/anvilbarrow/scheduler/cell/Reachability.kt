package org.anvilbarrow.scheduler.cell

import java.time.Duration
import java.time.Instant
import java.util.concurrent.atomic.AtomicIntegerArray

/**
 * Knows whether this process is cut off from the owner of each shard.
 *
 * It answers a VM that a network fault separates from the rest of the cell while callers still reach it: such a process
 * cannot serve them, and no other owner is going to come. Reviewed on the control thread, asked on any thread.
 */
internal class Reachability(
    shards: Int,
) {
    private class Loss(
        val owner: String?,
        val since: Instant,
    )

    private val losses = arrayOfNulls<Loss>(shards)
    private val cutOff = AtomicIntegerArray(shards)

    /**
     * Takes in whether the [owner] of [shard] is connected, and whether the store lets this process expect another one.
     */
    fun review(
        shard: Int,
        owner: String?,
        isConnected: Boolean,
        expectsOwner: Boolean,
        now: Instant,
    ) {
        val loss = if (isConnected) null else losses[shard]?.takeIf { it.owner == owner } ?: Loss(owner, now)
        losses[shard] = loss
        val isCutOff = loss != null && !expectsOwner && Duration.between(loss.since, now) > TAKEOVER
        cutOff.set(shard, if (isCutOff) 1 else 0)
    }

    /** True while the owner of [shard] has not been reached for longer than a takeover takes, and none is under way. */
    fun isCutOff(shard: Int): Boolean = cutOff.get(shard) == 1

    private companion object {
        /** A silent owner is replaced after 1.25 s, and the next one is connected 0.1 s later. */
        val TAKEOVER: Duration = Duration.ofMillis(1_400)
    }
}
