package org.anvilbarrow.kernel.ownership

import org.anvilbarrow.protocol.jobs.ClaimRecord
import java.time.Duration
import java.time.Instant

/**
 * The append of a claim that is under way, and its copies.
 *
 * A connection whose answer was lost stays silent while a new one works. The condition of the append lets one of the
 * copies take effect.
 */
internal class ClaimAppends(
    /** Shortest time without an answer after which a copy is sent. */
    private val again: Duration,
) {
    /** An append without an answer. */
    class Open(
        val effect: ClaimEffect.Append,
        val sentAt: Instant,
    ) {
        var lastCopyAt: Instant = sentAt
        var unansweredCopies = 1
    }

    /** What became of an append. */
    sealed interface Ended {
        class Took(
            val append: Open,
        ) : Ended

        /** The append may be in the log or may be later; only a read tells. */
        class Unproven(
            val append: Open,
            /** True if the store rejected the last copy. */
            val isRejected: Boolean,
        ) : Ended
    }

    private var open: Open? = null
    private var lastNumber = 0L

    /** Time from the last copy of an append that took effect to its answer. */
    private var lastTook: Duration = Duration.ZERO

    val isOpen: Boolean get() = open != null

    /** Returns the first copy of a new append. */
    fun open(
        at: Long,
        record: ClaimRecord,
        now: Instant,
    ): ClaimEffect.Append {
        lastNumber++
        return ClaimEffect.Append(lastNumber, at, record).also { open = Open(it, now) }
    }

    /** Returns a further copy if the last one has had no answer for long. */
    fun copyDue(now: Instant): ClaimEffect.Append? {
        val append = open ?: return null
        val patience = maxOf(again, lastTook.multipliedBy(2))
        if (Duration.between(append.lastCopyAt, now) < patience) return null
        append.lastCopyAt = now
        append.unansweredCopies++
        return append.effect
    }

    /** Takes the answer to one copy; returns null while other copies may still take effect. */
    fun ended(
        number: Long,
        result: ClaimAppendResult,
        now: Instant,
    ): Ended? {
        val append = open?.takeIf { it.effect.number == number } ?: return null
        append.unansweredCopies--
        if (result == ClaimAppendResult.Appended) lastTook = Duration.between(append.lastCopyAt, now)
        val isOver =
            result == ClaimAppendResult.Appended || result == ClaimAppendResult.Conflict || append.unansweredCopies == 0
        if (!isOver) return null
        open = null
        return when (result) {
            ClaimAppendResult.Appended -> Ended.Took(append)
            else -> Ended.Unproven(append, isRejected = result == ClaimAppendResult.Rejected)
        }
    }
}
