package org.anvilbarrow.kernel.ownership

import org.anvilbarrow.protocol.jobs.ClaimRecord
import java.time.Duration
import java.time.Instant

/** Actions that the process performs for [ShardClaim]. */
public sealed interface ClaimEffect {
    /** Read the newest claim and the end offset of the log. */
    public data object ReadNewest : ClaimEffect

    /** Read records from offset [from], waiting up to [wait] for the first one. */
    public data class Read(
        val from: Long,
        val wait: Duration,
    ) : ClaimEffect

    /** Append [record] if the log ends at offset [at]; retries of the same append share its [number]. */
    public data class Append(
        val number: Long,
        val at: Long,
        val record: ClaimRecord,
    ) : ClaimEffect

    /**
     * This process owns the shard with fencing token [token].
     *
     * If [earlierOwnersEnded], no earlier owner can grant or renew leases any more.
     */
    public data class Acquired(
        val token: Long,
        val earlierOwnersEnded: Boolean,
    ) : ClaimEffect

    /** The store confirmed that this process was the owner at [at]. */
    public data class Confirmed(
        val at: Instant,
    ) : ClaimEffect

    /** The store rejects writes of this owner; ask processes that can reach the store to claim the shard. */
    public data class AskForSuccessor(
        val token: Long,
    ) : ClaimEffect

    /** This process no longer owns the shard. */
    public data class Lost(
        val reason: String,
    ) : ClaimEffect

    /** [owner] holds the newest claim, or null if there is no owner. */
    public data class OwnerChanged(
        val owner: ClaimRecord?,
    ) : ClaimEffect
}

/** Result of one attempt to append a claim. */
public sealed interface ClaimAppendResult {
    public data object Appended : ClaimAppendResult

    /** The log ends at another offset; nothing was appended. */
    public data object Conflict : ClaimAppendResult

    /** The store did not accept the request; nothing was appended. */
    public data object Rejected : ClaimAppendResult

    /** No response; the claim may have been appended or may still be appended. */
    public data object Unanswered : ClaimAppendResult
}
