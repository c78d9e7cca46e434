package org.anvilbarrow.kernel.ownership

import java.time.Instant

/**
 * What this process has heard of the owner of a shard, and when the owner counts as silent.
 *
 * While the store cannot be read, an owner that lives may have renewed its claim, or may not have been able to. So the
 * silence begins anew when the store can be read again, unless the connection to the owner broke.
 */
internal class OwnerNews(
    private val limits: ClaimLimits,
) {
    /** When a claim or a renewal was last read, or the log had changed. */
    var at: Instant = Instant.MIN
        private set

    /** True if the connection to the owner broke. */
    var isLinkLost = false

    /** False from a read that failed to one that succeeds. */
    var isStoreReadable = true
        private set

    /** When a read succeeded again after one that failed. */
    private var readableAgainAt: Instant = Instant.MIN

    fun heard(now: Instant) {
        at = now
    }

    fun readSucceeded(now: Instant) {
        if (!isStoreReadable) readableAgainAt = now
        isStoreReadable = true
    }

    fun readFailed() {
        isStoreReadable = false
    }

    /** When the owner counts as silent if there is no news until then. */
    fun silentAt(): Instant =
        if (isLinkLost) {
            at.plus(limits.silenceAfterLinkLoss)
        } else {
            maxOf(at, readableAgainAt).plus(limits.silence)
        }

    /** True if there was news a moment before [now], and the store can still be read. */
    fun isRecent(now: Instant): Boolean = isStoreReadable && now.isBefore(at.plus(limits.silence))
}
