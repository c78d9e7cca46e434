package org.anvilbarrow.kernel.ownership

import org.anvilbarrow.protocol.jobs.ClaimRecord
import java.time.Duration
import java.time.Instant

/** What the process has to do for its claim. */
public sealed interface ClaimEffect {
    /** Read the newest claim and the end of the log. */
    public data object ReadNewest : ClaimEffect

    /** Read records from [from], waiting up to [wait] for one. */
    public data class Read(
        val from: Long,
        val wait: Duration,
    ) : ClaimEffect

    /** Append [record] if the log ends at [at]; a copy of an append without an answer has the same [number]. */
    public data class Append(
        val number: Long,
        val at: Long,
        val record: ClaimRecord,
    ) : ClaimEffect

    /**
     * This process owns the shard under [token].
     *
     * If [earlierOwnersEnded], no earlier owner can give or renew leases any more.
     */
    public data class Acquired(
        val token: Long,
        val earlierOwnersEnded: Boolean,
    ) : ClaimEffect

    /** The store confirmed at [at] that this process is the owner. */
    public data class Confirmed(
        val at: Instant,
    ) : ClaimEffect

    /** The store rejects this owner; ask the other processes to claim the shard if it serves them. */
    public data class AskForSuccessor(
        val token: Long,
    ) : ClaimEffect

    /** This process does not own the shard any more. */
    public data class Lost(
        val reason: String,
    ) : ClaimEffect

    /** [owner] holds the newest claim, or nobody does. */
    public data class OwnerChanged(
        val owner: ClaimRecord?,
    ) : ClaimEffect
}

/** Result of an append of a claim. */
public sealed interface ClaimAppendResult {
    public data object Appended : ClaimAppendResult

    /** The log ends elsewhere; nothing was appended. */
    public data object Conflict : ClaimAppendResult

    /** Nothing was appended. */
    public data object Rejected : ClaimAppendResult

    /** The claim may have been appended or may be later. */
    public data object Unanswered : ClaimAppendResult
}
