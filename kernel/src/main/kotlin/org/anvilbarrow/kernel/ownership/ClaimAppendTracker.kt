package org.anvilbarrow.kernel.ownership

import org.anvilbarrow.protocol.jobs.ClaimRecord
import java.time.Duration
import java.time.Instant

/**
 * Tracks the pending append of a claim and resends it on a timeout.
 *
 * A connection that lost a response stays silent although a new connection works, so an append is retried on another
 * connection. The append condition ensures that at most one attempt takes effect.
 */
internal class ClaimAppendTracker(
    /** Minimum time to wait for a response before the append is resent. */
    private val minTimeout: Duration,
) {
    /** An append whose result is not known yet. */
    class PendingAppend(
        val effect: ClaimEffect.Append,
        val sentAt: Instant,
    ) {
        var lastAttemptAt: Instant = sentAt
        var pendingAttempts = 1
    }

    sealed interface Completion {
        class Succeeded(
            val append: PendingAppend,
        ) : Completion

        /** The append may have been written or may still be written; only a read of the log tells. */
        class Unconfirmed(
            val append: PendingAppend,
            /** True if the store rejected the last attempt. */
            val isRejected: Boolean,
        ) : Completion
    }

    private var pending: PendingAppend? = null
    private var lastNumber = 0L

    /** Time from the last attempt of the latest successful append to its response. */
    private var lastLatency: Duration = Duration.ZERO

    val isPending: Boolean get() = pending != null

    /** Starts a new append and returns its first attempt. */
    fun start(
        at: Long,
        record: ClaimRecord,
        now: Instant,
    ): ClaimEffect.Append {
        lastNumber++
        return ClaimEffect.Append(lastNumber, at, record).also { pending = PendingAppend(it, now) }
    }

    /** Returns another attempt of the pending append if the last one timed out, or null. */
    fun retryDue(now: Instant): ClaimEffect.Append? {
        val append = pending ?: return null
        val timeout = maxOf(minTimeout, lastLatency.multipliedBy(2))
        if (Duration.between(append.lastAttemptAt, now) < timeout) return null
        append.lastAttemptAt = now
        append.pendingAttempts++
        return append.effect
    }

    /** Records the result of one attempt; returns null while other attempts may still take effect. */
    fun attemptAnswered(
        number: Long,
        result: ClaimAppendResult,
        now: Instant,
    ): Completion? {
        val append = pending?.takeIf { it.effect.number == number } ?: return null
        append.pendingAttempts--
        if (result == ClaimAppendResult.Appended) lastLatency = Duration.between(append.lastAttemptAt, now)
        val isComplete =
            result == ClaimAppendResult.Appended || result == ClaimAppendResult.Conflict || append.pendingAttempts == 0
        if (!isComplete) return null
        pending = null
        return when (result) {
            ClaimAppendResult.Appended -> Completion.Succeeded(append)
            else -> Completion.Unconfirmed(append, isRejected = result == ClaimAppendResult.Rejected)
        }
    }
}
