package org.anvilbarrow.kernel.core

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import java.time.Instant

/**
 * Keys that have to be looked at when their time comes.
 *
 * Times are rounded up to [BUCKET_MILLIS], so that scheduling and collecting cost the same however many keys wait.
 */
internal data class DueTimes<K>(
    private val nextBucket: Long,
    private val buckets: PersistentMap<Long, PersistentList<K>> = persistentMapOf(),
) {
    /** Schedules [key] for [at]; a key may be scheduled more than once. */
    fun schedule(
        key: K,
        at: Instant,
    ): DueTimes<K> {
        val bucket = maxOf(at.toEpochMilli() / BUCKET_MILLIS + 1, nextBucket)
        val keys = buckets[bucket] ?: persistentListOf()
        return copy(buckets = buckets.put(bucket, keys.add(key)))
    }

    /** Removes and returns the keys whose time has come by [now]. */
    fun collect(now: Instant): Collected<K> {
        val lastBucket = now.toEpochMilli() / BUCKET_MILLIS
        if (lastBucket < nextBucket) return Collected(this, emptyList())
        val due = dueBuckets(lastBucket)
        val remaining = due.fold(buckets) { left, bucket -> left.remove(bucket) }
        return Collected(DueTimes(lastBucket + 1, remaining), due.flatMap { buckets.getValue(it) })
    }

    private fun dueBuckets(lastBucket: Long): List<Long> =
        if (lastBucket - nextBucket > buckets.size) {
            buckets.keys.filter { it <= lastBucket }.sorted()
        } else {
            (nextBucket..lastBucket).filter(buckets::containsKey)
        }

    data class Collected<K>(
        val remaining: DueTimes<K>,
        val keys: List<K>,
    )

    companion object {
        private const val BUCKET_MILLIS = 100L

        fun <K> startingAt(now: Instant): DueTimes<K> = DueTimes(now.toEpochMilli() / BUCKET_MILLIS)
    }
}
