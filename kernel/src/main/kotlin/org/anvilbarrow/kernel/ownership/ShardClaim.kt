package org.anvilbarrow.kernel.ownership

import org.anvilbarrow.protocol.jobs.ClaimRecord
import java.time.Duration
import java.time.Instant

/**
 * State machine that decides when this process claims a shard, renews its claim or releases it.
 *
 * A claim is appended on condition that the log has not grown since it was read, so of two concurrent claimants only
 * one succeeds. The fencing token is the offset of the claim plus one.
 */
public class ShardClaim(
    private val address: String,
    private val incarnation: Long,
    private val limits: ClaimLimits,
    /** CPU cores available to this process. */
    private val cores: Double = 0.0,
) {
    private var end: Long? = null
    private var newest: ClaimRecord? = null
    private val liveness = OwnerLiveness(limits)
    private var reading = false
    private var nextReadAt: Instant = Instant.MIN
    private val appends = ClaimAppendTracker(limits.minAppendTimeout)

    /** Consecutive appends that the store rejected. */
    private var rejections = 0

    /** When the last append without a confirmed result was first sent; it may be in the log. */
    private var unconfirmedSentAt: Instant? = null
    private var nextAppendAt: Instant = Instant.MIN
    private var releasing = false
    private var handingOver = false
    private var noClaimBefore: Instant = Instant.MIN

    /** Core count of the largest process known other than from claims. */
    private var knownCores = cores

    /** True if the log must be read before the next append, as it may hold unread records. */
    private var mustRead = false
    private val effects = ArrayList<ClaimEffect>()

    /** Fencing token of this process while it owns the shard, or null. */
    public var token: Long? = null
        private set

    /** Highest fencing token that this process has held; a token that was given up is never acquired again. */
    private var highestHeldToken = NO_TOKEN

    /** The newest claim, or null if it was released. */
    public val owner: ClaimRecord? get() = newest?.takeIf { !it.released }

    /** True if another process owns the shard and renewed its claim within the owner timeout. */
    public fun isOwnedByLivePeer(now: Instant): Boolean =
        owner?.let { !isMine(it) } == true && token == null && liveness.isAlive(now)

    /** False from a failed read of the store until the next successful one. */
    public val isStoreReadable: Boolean get() = liveness.isStoreReadable

    /** Handles a read of the newest claim and the end offset of the log. */
    public fun newestClaimRead(
        endOffset: Long,
        record: ClaimRecord?,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            readSucceeded(now)
            // Any growth of the log since the last read is a sign of a live owner.
            if (endOffset != end) liveness.recordActivity(now)
            end = endOffset
            record?.let { applyClaim(it, now) }
            if (newest == null) effects += ClaimEffect.OwnerChanged(null)
        }

    /** Handles a read from the known end of the log that returned [records] up to [endOffset]. */
    public fun recordsRead(
        endOffset: Long,
        records: List<ClaimRecord>,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            readSucceeded(now)
            end = maxOf(endOffset, end ?: 0)
            records.forEach { applyClaim(it, now) }
            if (records.any(::isMine)) confirmUnansweredAppend()
            if (records.isEmpty()) claimIfTimedOut(now)
        }

    /** Confirms ownership after a read has shown that an append without a known result was written. */
    private fun confirmUnansweredAppend() {
        val sentAt = unconfirmedSentAt ?: return
        unconfirmedSentAt = null
        if (token != null) effects += ClaimEffect.Confirmed(sentAt)
    }

    private fun isMine(record: ClaimRecord) = record.address == address && record.incarnation == incarnation

    /** Handles a failed read; if [outOfRange], the requested records are no longer retained. */
    public fun readFailed(
        outOfRange: Boolean,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            reading = false
            nextReadAt = now.plus(limits.retryDelay)
            if (outOfRange) end = null else liveness.readFailed()
        }

    private fun readSucceeded(now: Instant) {
        reading = false
        liveness.readSucceeded(now)
    }

    /** Handles the result of one attempt of the append with [number]. */
    public fun appended(
        number: Long,
        result: ClaimAppendResult,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            when (val completion = appends.attemptAnswered(number, result, now)) {
                null -> Unit
                is ClaimAppendTracker.Completion.Succeeded -> appendSucceeded(completion.append, now)
                is ClaimAppendTracker.Completion.Unconfirmed -> {
                    // Only a read shows which process wrote at this offset.
                    unconfirmedSentAt = completion.append.sentAt
                    nextAppendAt = now.plus(limits.retryDelay)
                    mustRead = true
                    if (completion.isRejected) rejected() else rejections = 0
                }
            }
        }

    /** A store that rejects this process may still serve others, so one of them should take over. */
    private fun rejected() {
        rejections++
        val held = token ?: return
        if (rejections >= limits.rejectionsBeforeSuccessor) effects += ClaimEffect.AskForSuccessor(held)
    }

    /** Handles a claim received from a peer, the only source for a process that cannot read the store. */
    public fun claimAnnounced(
        record: ClaimRecord,
        now: Instant,
    ): List<ClaimEffect> = handle(now) { if (record.token > (newest?.token ?: NO_TOKEN)) applyClaim(record, now) }

    /** Handles a request for a successor by the owner with [ofToken]; the append fails if that owner was replaced. */
    public fun successorWanted(
        ofToken: Long,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            val mayClaim = token == null && !releasing && isStoreReadable && !mustRead && !isSmaller()
            if (mayClaim && newest?.token == ofToken) claim(now)
        }

    private fun appendSucceeded(
        append: ClaimAppendTracker.PendingAppend,
        now: Instant,
    ) {
        // A read may have returned the record before the response to its append arrived.
        end = maxOf(append.effect.at + 1, end ?: 0)
        applyClaim(append.effect.record, now)
        rejections = 0
        if (token == append.effect.record.token) effects += ClaimEffect.Confirmed(append.sentAt)
        nextAppendAt = append.sentAt.plus(limits.renewalInterval)
    }

    /** Handles the loss or return of the connection to the owner. */
    public fun linkChanged(
        lost: Boolean,
        now: Instant,
    ): List<ClaimEffect> = handle(now) { liveness.isLinkLost = lost }

    /** Gives up ownership because another component found evidence of a later owner. */
    public fun displaced(
        reason: String,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            loseOwnership(reason)
            mustRead = true
            liveness.recordActivity(now)
        }

    /** Releases the shard for a planned shutdown; this process makes no further claims. */
    public fun release(now: Instant): List<ClaimEffect> =
        handle(now) {
            releasing = true
            nextAppendAt = now
        }

    /** Releases the shard for a process with [largerCores]; claims it again after a backoff if nobody else does. */
    public fun handOver(
        largerCores: Double,
        now: Instant,
    ): List<ClaimEffect> =
        handle(now) {
            if (token != null) {
                handingOver = true
                knownCores = largerCores
                noClaimBefore = now.plus(limits.handOverBackoff)
                nextAppendAt = now
            }
        }

    /** Renews the claim at once after a process pause, to find out whether this process is still the owner. */
    public fun resumed(now: Instant): List<ClaimEffect> = handle(now) { if (token != null) nextAppendAt = now }

    /** Sends the reads, renewals and claims that are due. */
    public fun tick(now: Instant): List<ClaimEffect> = handle(now) {}

    private inline fun handle(
        now: Instant,
        change: () -> Unit,
    ): List<ClaimEffect> {
        change()
        proceed(now)
        return effects.toList().also { effects.clear() }
    }

    private fun proceed(now: Instant) {
        // Only renewals are retried: a delayed retry of a first claim could take the shard from a live owner.
        if (token != null) appends.retryDue(now)?.let { effects += it }
        renewOrRelease(now)
        val owning = token != null
        if (reading || now.isBefore(nextReadAt)) return
        val from = end
        if (from == null) {
            reading = true
            effects += ClaimEffect.ReadNewest
        } else if (!owning || mustRead) {
            reading = true
            effects += ClaimEffect.Read(from, if (mustRead) Duration.ZERO else untilTimeout(now))
            mustRead = false
        }
    }

    /** Returns the long-poll wait after which an empty read shows that the owner timed out. */
    private fun untilTimeout(now: Instant): Duration =
        maxOf(limits.minReadWait, Duration.between(now, ownerTimeoutAt()))

    private fun ownerTimeoutAt(): Instant = liveness.timeoutAt().plus(claimDelay())

    private fun claimDelay(): Duration = if (isSmaller()) limits.smallerProcessDelay else Duration.ZERO

    private fun isSmaller(): Boolean = cores < (newest?.mostCores ?: 0.0) * limits.smallerCoreRatio

    private fun renewOrRelease(now: Instant) {
        val held = token
        val at = end ?: return
        if (!mayAppend(now) || mustRead) return
        when {
            held != null -> append(at, recordOf(held, released = releasing || handingOver), now)
            releasing -> Unit
            isVacant() && !reading && mayClaimVacant(now) -> claim(now)
            // A pending read may outlast the shorter timeout after a link loss; the append detects newer records.
            liveness.isLinkLost && isOwnerTimedOut(now) -> claim(now)
        }
    }

    private fun recordOf(
        token: Long,
        released: Boolean,
    ) = ClaimRecord(address, incarnation, token, released, maxOf(knownCores, newest?.mostCores ?: 0.0))

    /** Delays a claim of a vacant shard so that a larger process can claim it first. */
    private fun mayClaimVacant(now: Instant): Boolean =
        newest == null || (!now.isBefore(liveness.lastActivityAt.plus(claimDelay())) && !now.isBefore(noClaimBefore))

    private fun isOwnerTimedOut(now: Instant): Boolean = !now.isBefore(ownerTimeoutAt())

    private fun mayAppend(now: Instant): Boolean = !appends.isPending && !now.isBefore(nextAppendAt)

    /** True if there is no claim, or its owner released it or was an earlier incarnation of this process. */
    private fun isVacant(): Boolean {
        val claim = newest ?: return true
        return claim.released || (claim.address == address && claim.incarnation != incarnation)
    }

    private fun claimIfTimedOut(now: Instant) {
        val due = (isVacant() && mayClaimVacant(now)) || isOwnerTimedOut(now)
        if (due && token == null && !releasing) claim(now)
    }

    private fun claim(now: Instant) {
        val at = end ?: return
        if (!mayAppend(now)) return
        append(at, recordOf(at + 1, released = false), now)
    }

    private fun append(
        at: Long,
        record: ClaimRecord,
        now: Instant,
    ) {
        unconfirmedSentAt = null
        effects += appends.start(at, record, now)
    }

    /** Applies a claim that was read or received; a lower token means a late renewal by a displaced owner. */
    private fun applyClaim(
        record: ClaimRecord,
        now: Instant,
    ) {
        liveness.recordActivity(now)
        val before = newest
        if (before != null && record.token < before.token) return
        newest = record
        liveness.isLinkLost = liveness.isLinkLost && before?.token == record.token
        val mine = isMine(record)
        when {
            // The store and the upstreams may have seen later sequence numbers and relay epochs under a held token.
            mine && !record.released && record.token > highestHeldToken -> {
                token = record.token
                highestHeldToken = record.token
                nextAppendAt = now.plus(limits.renewalInterval)
                effects += ClaimEffect.Acquired(record.token, earlierOwnersEnded(before, record))
            }
            mine && record.released -> loseOwnership("released")
            !mine && token != null -> loseOwnership("${record.address} claimed the shard with token ${record.token}")
        }
        // Compares tokens, as processes started in the same millisecond may share an incarnation.
        val changed = before?.token != record.token || before.released != record.released
        if (changed) effects += ClaimEffect.OwnerChanged(owner)
    }

    /**
     * Returns whether all earlier owners have stopped.
     *
     * The last owner has stopped if it released the shard or was an earlier incarnation of this process. Its
     * predecessors have stopped if it renewed its claim for long enough. As every record of the log is a claim or a
     * renewal and tokens are offsets, the difference of two tokens counts the renewals between them.
     */
    private fun earlierOwnersEnded(
        last: ClaimRecord?,
        mine: ClaimRecord,
    ): Boolean {
        if (last == null) return true
        val ended = last.released || (last.address == address && last.incarnation != incarnation)
        return ended && mine.token - last.token > limits.renewalsUntilPredecessorsStopped
    }

    private fun loseOwnership(reason: String) {
        handingOver = false
        if (token == null) return
        token = null
        effects += ClaimEffect.Lost(reason)
    }

    private companion object {
        /** Lower than every token. */
        const val NO_TOKEN = -1L
    }
}
