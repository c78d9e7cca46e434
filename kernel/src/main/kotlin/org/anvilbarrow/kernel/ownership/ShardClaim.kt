package org.anvilbarrow.kernel.ownership

import org.anvilbarrow.protocol.jobs.ClaimRecord
import java.time.Duration
import java.time.Instant

/**
 * Decides when this process claims a shard, renews its claim or gives it up.
 *
 * A claim is appended only where the log ended when it was read, so of two claimants one succeeds. The offset of the
 * claim plus one is the fencing token.
 */
public class ShardClaim(
    private val address: String,
    private val incarnation: Long,
    private val limits: ClaimLimits,
    /** Processor time that the VM gives this process, in cores. */
    private val cores: Double = 0.0,
) {
    private var end: Long? = null
    private var newest: ClaimRecord? = null
    private val news = OwnerNews(limits)
    private var reading = false
    private var nextReadAt: Instant = Instant.MIN
    private val appends = ClaimAppends(limits.appendAgain)

    /** Appends in a row that the store rejected. */
    private var rejections = 0

    /** When an append was sent that may be in the log although it was not answered so. */
    private var unprovenSince: Instant? = null
    private var nextAppendAt: Instant = Instant.MIN
    private var releasing = false
    private var handingOver = false
    private var noClaimBefore: Instant = Instant.MIN

    /** Cores of a process that this one knows of besides those in the claims. */
    private var knownCores = cores

    /** True if the log has changed in a way that this process has not read. */
    private var mustRead = false
    private val effects = ArrayList<ClaimEffect>()

    /** Token under which this process owns the shard, or null. */
    public var token: Long? = null
        private set

    /** The newest claim that is not released. */
    public val owner: ClaimRecord? get() = newest?.takeIf { !it.released }

    /** True if another process owns the shard and has renewed its claim a moment before [now]. */
    public fun isOwnedByLivePeer(now: Instant): Boolean = owner != null && token == null && news.isRecent(now)

    /** False while the store cannot be read. */
    public val isStoreReadable: Boolean get() = news.isStoreReadable

    /** The newest claim was read together with the end of the log. */
    public fun newestClaimRead(
        endOffset: Long,
        record: ClaimRecord?,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            readSucceeded(now)
            // Records between two reads are news, whatever they were.
            if (endOffset != end) news.heard(now)
            end = endOffset
            record?.let { take(it, now) }
            if (newest == null) effects += ClaimEffect.OwnerChanged(null)
        }

    /** A read from the known end returned [records] up to [endOffset]. */
    public fun recordsRead(
        endOffset: Long,
        records: List<ClaimRecord>,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            readSucceeded(now)
            end = maxOf(endOffset, end ?: 0)
            records.forEach { take(it, now) }
            if (records.any(::isMine)) proven()
            if (records.isEmpty()) claimIfSilent(now)
        }

    /** The log holds an append of this process that was not answered so. */
    private fun proven() {
        val sentAt = unprovenSince ?: return
        unprovenSince = null
        if (token != null) effects += ClaimEffect.Confirmed(sentAt)
    }

    private fun isMine(record: ClaimRecord) = record.address == address && record.incarnation == incarnation

    /** A read failed; if [outOfRange], the records that were asked for are gone. */
    public fun readFailed(
        outOfRange: Boolean,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            reading = false
            nextReadAt = now.plus(limits.retry)
            if (outOfRange) end = null else news.readFailed()
        }

    private fun readSucceeded(now: Instant) {
        reading = false
        news.readSucceeded(now)
    }

    /** A copy of the append with [number] ended. */
    public fun appended(
        number: Long,
        result: ClaimAppendResult,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            when (val ended = appends.ended(number, result, now)) {
                null -> Unit
                is ClaimAppends.Ended.Took -> appendTook(ended.append, now)
                is ClaimAppends.Ended.Unproven -> {
                    // The answer of a read, and not of the append, shows who wrote.
                    unprovenSince = ended.append.sentAt
                    nextAppendAt = now.plus(limits.retry)
                    mustRead = true
                    if (ended.isRejected) rejected() else rejections = 0
                }
            }
        }

    /** A store that rejects one process may serve the others. */
    private fun rejected() {
        rejections++
        val held = token ?: return
        if (rejections >= limits.rejectionsBeforeSuccessor) effects += ClaimEffect.AskForSuccessor(held)
    }

    /** Another process told of [record]; one that the store rejects learns of a new owner in this way only. */
    public fun claimAnnounced(
        record: ClaimRecord,
        now: Instant,
    ): List<ClaimEffect> = turn(now) { if (record.token > (newest?.token ?: NO_TOKEN)) take(record, now) }

    /** The owner under [ofToken] asked for a successor; the append shows whether it is still the owner. */
    public fun successorWanted(
        ofToken: Long,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            val mayClaim = token == null && !releasing && isStoreReadable && !mustRead && !isSmaller()
            if (mayClaim && newest?.token == ofToken) claim(now)
        }

    private fun appendTook(
        append: ClaimAppends.Open,
        now: Instant,
    ) {
        // A read may have returned the record before its append was answered.
        end = maxOf(append.effect.at + 1, end ?: 0)
        take(append.effect.record, now)
        rejections = 0
        effects += ClaimEffect.Confirmed(append.sentAt)
        nextAppendAt = append.sentAt.plus(limits.renewal)
    }

    /** The connection to the owner broke, or is back. */
    public fun linkChanged(
        lost: Boolean,
        now: Instant,
    ): List<ClaimEffect> = turn(now) { news.isLinkLost = lost }

    /** Another part of the process found that a later owner exists. */
    public fun displaced(
        reason: String,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            lose(reason)
            mustRead = true
            news.heard(now)
        }

    /** Gives the shard up in a planned stop, and claims nothing any more. */
    public fun release(now: Instant): List<ClaimEffect> =
        turn(now) {
            releasing = true
            nextAppendAt = now
        }

    /** Gives the shard to a process with [largerCores]; claims again after a pause if none takes it. */
    public fun handOver(
        largerCores: Double,
        now: Instant,
    ): List<ClaimEffect> =
        turn(now) {
            if (token != null) {
                handingOver = true
                knownCores = largerCores
                noClaimBefore = now.plus(limits.handOverPause)
                nextAppendAt = now
            }
        }

    /** The process stood still: asks the store at once whether it still owns the shard. */
    public fun resumed(now: Instant): List<ClaimEffect> = turn(now) { if (token != null) nextAppendAt = now }

    /** Time passed. */
    public fun tick(now: Instant): List<ClaimEffect> = turn(now) {}

    private inline fun turn(
        now: Instant,
        change: () -> Unit,
    ): List<ClaimEffect> {
        change()
        proceed(now)
        return effects.toList().also { effects.clear() }
    }

    private fun proceed(now: Instant) {
        // Copies of a first claim would take the shard from an owner that lives once the store is back.
        if (token != null) appends.copyDue(now)?.let { effects += it }
        renewOrRelease(now)
        val owning = token != null
        if (reading || now.isBefore(nextReadAt)) return
        val from = end
        if (from == null) {
            reading = true
            effects += ClaimEffect.ReadNewest
        } else if (!owning || mustRead) {
            reading = true
            effects += ClaimEffect.Read(from, if (mustRead) Duration.ZERO else untilSilent(now))
            mustRead = false
        }
    }

    /** A read that returns empty after this time shows that the owner is silent. */
    private fun untilSilent(now: Instant): Duration = maxOf(limits.minReadWait, Duration.between(now, silentAt()))

    private fun silentAt(): Instant = news.silentAt().plus(handicap())

    private fun handicap(): Duration = if (isSmaller()) limits.smallerWait else Duration.ZERO

    private fun isSmaller(): Boolean = cores < (newest?.mostCores ?: 0.0) * limits.smallerCoreRatio

    private fun renewOrRelease(now: Instant) {
        val held = token
        val at = end ?: return
        if (!mayAppend(now) || mustRead) return
        when {
            held != null -> append(at, recordOf(held, released = releasing || handingOver), now)
            releasing -> Unit
            isVacant() && !reading && isTurn(now) -> claim(now)
            // A read may wait for longer than the shorter silence; the condition of the append stands for its answer.
            news.isLinkLost && isSilent(now) -> claim(now)
        }
    }

    private fun recordOf(
        token: Long,
        released: Boolean,
    ) = ClaimRecord(address, incarnation, token, released, maxOf(knownCores, newest?.mostCores ?: 0.0))

    /** A larger process gets the time to claim a vacant shard first. */
    private fun isTurn(now: Instant): Boolean =
        newest == null || (!now.isBefore(news.at.plus(handicap())) && !now.isBefore(noClaimBefore))

    private fun isSilent(now: Instant): Boolean = !now.isBefore(silentAt())

    private fun mayAppend(now: Instant): Boolean = !appends.isOpen && !now.isBefore(nextAppendAt)

    /** True if no living process can hold the newest claim. */
    private fun isVacant(): Boolean {
        val claim = newest ?: return true
        return claim.released || (claim.address == address && claim.incarnation != incarnation)
    }

    private fun claimIfSilent(now: Instant) {
        val due = (isVacant() && isTurn(now)) || isSilent(now)
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
        unprovenSince = null
        effects += appends.open(at, record, now)
    }

    /** Takes in a claim; one with a lower token is a late renewal of a displaced owner. */
    private fun take(
        record: ClaimRecord,
        now: Instant,
    ) {
        news.heard(now)
        val before = newest
        if (before != null && record.token < before.token) return
        newest = record
        news.isLinkLost = news.isLinkLost && before?.token == record.token
        val mine = isMine(record)
        when {
            mine && !record.released && token != record.token -> {
                token = record.token
                nextAppendAt = now.plus(limits.renewal)
                effects += ClaimEffect.Acquired(record.token, earlierOwnersEnded(before, record))
            }
            mine && record.released -> lose("released")
            !mine && token != null -> lose("${record.address} claimed the shard with token ${record.token}")
        }
        // Processes that start together may have one incarnation; a token belongs to one claim.
        val changed = before?.token != record.token || before.released != record.released
        if (changed) effects += ClaimEffect.OwnerChanged(owner)
    }

    /**
     * The last owner ended if it released the shard or was an earlier life of this process.
     *
     * Those before it have stopped by themselves if it had renewed its claim for long enough: every record of the log
     * is a claim or a renewal, and tokens are offsets.
     */
    private fun earlierOwnersEnded(
        last: ClaimRecord?,
        mine: ClaimRecord,
    ): Boolean {
        if (last == null) return true
        val ended = last.released || (last.address == address && last.incarnation != incarnation)
        return ended && mine.token - last.token > limits.renewalsOfSettledOwner
    }

    private fun lose(reason: String) {
        handingOver = false
        if (token == null) return
        token = null
        effects += ClaimEffect.Lost(reason)
    }

    private companion object {
        /** Below every token. */
        const val NO_TOKEN = -1L
    }
}
