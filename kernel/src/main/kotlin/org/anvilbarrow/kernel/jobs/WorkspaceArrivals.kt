package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.Workspace
import java.time.Duration
import java.time.Instant

/**
 * Decides which jobs of a workspace are within its share: as many a second as its weight.
 *
 * A token bucket that holds one second's worth lets short bursts pass. Confined to the control thread.
 */
internal class WorkspaceArrivals {
    private class Bucket(
        var tokens: Double,
        var filledAt: Instant,
    )

    private val buckets = HashMap<String, Bucket>()

    /** Counts a job of [workspace] that arrives at [now] at one of [shards] shards. */
    fun isWithinShare(
        workspace: Workspace,
        shards: Int,
        now: Instant,
    ): Boolean {
        val rate = workspace.weight / shards
        val capacity = maxOf(rate, 1.0)
        val bucket = buckets.getOrPut(workspace.name) { Bucket(capacity, now) }
        val elapsed = Duration.between(bucket.filledAt, now).toMillis() / MILLIS_PER_SECOND
        bucket.tokens = minOf(capacity, bucket.tokens + elapsed * rate)
        bucket.filledAt = now
        if (bucket.tokens < 1) return false
        bucket.tokens--
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
