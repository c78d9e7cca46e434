package org.anvilbarrow.kernel.ownership

import java.time.Instant

/**
 * Detects from the log and the connection whether the owner of a shard has failed.
 *
 * While the store cannot be read, renewals of a live owner are not seen, and the owner may be unable to renew. The
 * timeout therefore restarts when the store becomes readable again, unless the connection to the owner broke.
 */
internal class OwnerLiveness(
    private val limits: ClaimLimits,
) {
    /** When a claim or renewal was last read or the log was last seen to have grown. */
    var lastActivityAt: Instant = Instant.MIN
        private set

    /** True while the connection to the current owner is broken. */
    var isLinkLost = false

    /** False from a failed read until the next successful one. */
    var isStoreReadable = true
        private set

    /** When a read last succeeded after a failed one. */
    private var readableAgainAt: Instant = Instant.MIN

    fun recordActivity(now: Instant) {
        lastActivityAt = now
    }

    fun readSucceeded(now: Instant) {
        if (!isStoreReadable) readableAgainAt = now
        isStoreReadable = true
    }

    fun readFailed() {
        isStoreReadable = false
    }

    /** Returns when the owner counts as failed unless there is activity before. */
    fun timeoutAt(): Instant =
        if (isLinkLost) {
            lastActivityAt.plus(limits.ownerTimeoutAfterLinkLoss)
        } else {
            maxOf(lastActivityAt, readableAgainAt).plus(limits.ownerTimeout)
        }

    /** True if the store is readable and there was activity within the owner timeout before [now]. */
    fun isAlive(now: Instant): Boolean = isStoreReadable && now.isBefore(lastActivityAt.plus(limits.ownerTimeout))
}
