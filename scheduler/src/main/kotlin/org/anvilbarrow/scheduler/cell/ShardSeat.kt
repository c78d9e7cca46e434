package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.adapters.cell.NewestOutcome
import org.anvilbarrow.adapters.cell.ReadOutcome
import org.anvilbarrow.adapters.cell.TopicFollower
import org.anvilbarrow.kernel.jobs.Cell
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.CellEffect
import org.anvilbarrow.kernel.jobs.CellEvent
import org.anvilbarrow.kernel.jobs.UpstreamEntry
import org.anvilbarrow.kernel.ownership.ClaimAppendResult
import org.anvilbarrow.kernel.ownership.ClaimEffect
import org.anvilbarrow.kernel.ownership.ShardClaim
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.ClaimRecord
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import java.time.Duration
import java.time.Instant

private val log = KotlinLogging.logger("anvilbarrow.shard")

/**
 * The part of a process in one shard: it watches the claim, and owns the shard while it holds the claim.
 *
 * Confined to the control thread.
 */
internal class ShardSeat(
    private val shard: Int,
    private val parts: CellParts,
    private val onOwner: (ClaimRecord?) -> Unit,
) {
    private val claim = ShardClaim(parts.self.address, parts.incarnation, parts.claimLimits, parts.self.cores)
    private val events = ArrayList<CellEvent>()
    private val early = ArrayList<CellEvent.Requested>()
    private var cell: Cell? = null
    private var journal: JournalWriter? = null
    private var smallerSince: Instant? = null
    private val pauses = parts.pauses()

    /** Set from the end of a pause until the store confirms the claim again. */
    private var unconfirmedSince: Instant? = null
    private var flushPlanned = false
    private var nextFlushAt: Instant = Instant.MIN
    private val upstreams = HashMap<String, UpstreamEntry>()
    private val upstreamList =
        TopicFollower(
            parts.store,
            parts.catalog.upstreamTopic,
            0,
            Duration.ZERO,
            UPSTREAM_POLL,
            parts.later,
            ::upstreamRecords,
        )

    val isOwner: Boolean get() = claim.token != null

    /** True if the store can be read and shows no owner that lives, so that another one will come. */
    fun expectsOwner(now: Instant): Boolean = claim.isStoreReadable && !claim.isOwnedByLivePeer(now)

    /** Figures of the owner for metrics, or null. */
    val owned: Cell? get() = cell

    fun tick(now: Instant) {
        reviewPause(now)
        perform(claim.tick(now))
        reviewSize(now)
        if (cell != null) events += CellEvent.Tick
    }

    fun release(now: Instant): Unit = perform(claim.release(now))

    fun linkChanged(
        lost: Boolean,
        now: Instant,
    ): Unit = perform(claim.linkChanged(lost, now))

    fun successorWanted(
        ofToken: Long,
        now: Instant,
    ): Unit = perform(claim.successorWanted(ofToken, now))

    fun told(
        record: ClaimRecord,
        now: Instant,
    ): Unit = perform(claim.claimAnnounced(record, now))

    fun configured(config: CellConfig) {
        if (cell != null) events += CellEvent.Configured(config)
    }

    /** After a pause in which another process may have claimed the shard, nothing is done before a new confirmation. */
    private fun reviewPause(now: Instant) {
        val gap = pauses.sinceLast()
        if (gap < parts.claimLimits.longestPause || claim.token == null) return
        log.info { "event=owner-resumed shard=$shard token=${claim.token} detail=\"stood still for $gap\"" }
        unconfirmedSince = now
        perform(claim.resumed(now))
    }

    private fun confirmed(at: Instant) {
        cell?.confirmed(at)
        if (unconfirmedSince?.isAfter(at) == false) unconfirmedSince = null
    }

    /** Hands the shard over while the largest process of the cell has many more cores than this one. */
    private fun reviewSize(now: Instant) {
        if (cell == null) return
        val largest = parts.process.helpers.maxOfOrNull { it.cores } ?: return
        if (parts.self.cores >= largest * parts.claimLimits.smallerCoreRatio) {
            smallerSince = null
            return
        }
        val since = smallerSince ?: now.also { smallerSince = it }
        if (Duration.between(since, now) < parts.claimLimits.handOverDelay) return
        smallerSince = null
        log.info { "event=shard-handed-over shard=$shard cores=${parts.self.cores} largest=$largest" }
        perform(claim.handOver(largest, now))
    }

    fun helpersChanged(helpers: ImmutableList<CellMember>) {
        if (cell != null) events += CellEvent.HelpersChanged(helpers)
    }

    fun requested(event: CellEvent.Requested) {
        when {
            cell != null -> events += event
            // The takeover ends within the time that callers wait.
            isOwner && early.size < MAX_EARLY -> early += event
            isOwner -> parts.process.answer(event.call, TOO_MANY_EARLY)
            else -> parts.process.answer(event.call, JobAnswer.NotOwner)
        }
    }

    /**
     * Handles what was collected since the last call, unless that was a moment ago.
     *
     * Each batch considers all waiting steps, so an owner that cannot keep up makes fewer and larger batches.
     */
    fun flush(now: Instant) {
        val owner = cell ?: return
        if (events.isEmpty() || flushPlanned || unconfirmedSince != null) return
        if (now.isBefore(nextFlushAt)) {
            flushPlanned = true
            return parts.later.run(Duration.between(now, nextFlushAt)) { flushPlanned = false }
        }
        val batch = events.toList()
        events.clear()
        handle(owner, batch, now).forEach { carryOut(it, owner) }
        val ended = now()
        nextFlushAt = ended.plus(maxOf(MIN_BATCH_GAP, Duration.between(now, ended)))
    }

    /** An owner whose invariants are broken gives the shard up; the next one starts from what is stored. */
    @Suppress("TooGenericExceptionCaught")
    private fun handle(
        owner: Cell,
        batch: List<CellEvent>,
        now: Instant,
    ): List<CellEffect> =
        try {
            owner.handle(batch, now)
        } catch (e: RuntimeException) {
            log.error(e) { "event=shard-broken shard=$shard" }
            perform(claim.displaced("the owner's state is broken: $e", now))
            emptyList()
        }

    private fun perform(effects: List<ClaimEffect>): Unit = effects.forEach(::perform)

    private fun perform(effect: ClaimEffect) {
        when (effect) {
            ClaimEffect.ReadNewest ->
                parts.store.newest(CLAIM_TOPIC, shard).thenAccept { parts.post { perform(newestClaim(it)) } }
            is ClaimEffect.Read ->
                parts.store.read(CLAIM_TOPIC, shard, effect.from, effect.wait).thenAccept {
                    parts.post { perform(readClaims(it)) }
                }
            is ClaimEffect.Append -> append(effect)
            is ClaimEffect.Acquired -> acquired(effect.token, effect.earlierOwnersEnded)
            is ClaimEffect.Confirmed -> confirmed(effect.at)
            is ClaimEffect.AskForSuccessor -> {
                log.warn { "event=successor-wanted shard=$shard token=${effect.token}" }
                parts.process.tellPeers(CellMessage.SuccessorWanted(shard, effect.token))
            }
            is ClaimEffect.Lost -> lost(effect.reason)
            is ClaimEffect.OwnerChanged -> {
                log.info {
                    "event=owner-changed shard=$shard owner=${effect.owner?.address} token=${effect.owner?.token}"
                }
                effect.owner?.let { parts.process.tellPeers(CellMessage.Claimed(shard, it)) }
                onOwner(effect.owner)
            }
        }
    }

    private fun append(effect: ClaimEffect.Append) {
        val record = KeyedRecord(CLAIM_KEY, RecordCodec.encode(ClaimRecord.serializer(), effect.record))
        parts.store.append(CLAIM_TOPIC, shard, listOf(record), AppendCondition.EndsAt(effect.at)).thenAccept {
            val result =
                when (it) {
                    is AppendOutcome.Appended -> ClaimAppendResult.Appended
                    is AppendOutcome.Unanswered -> ClaimAppendResult.Unanswered
                    is AppendOutcome.Rejected -> ClaimAppendResult.Rejected
                    else -> ClaimAppendResult.Conflict
                }
            parts.post { perform(claim.appended(effect.number, result, now())) }
        }
    }

    private fun newestClaim(outcome: NewestOutcome): List<ClaimEffect> =
        when (outcome) {
            is NewestOutcome.Failed -> claim.readFailed(outOfRange = false, now())
            is NewestOutcome.Complete ->
                claim.newestClaimRead(outcome.endOffset, outcome.records.mapNotNull(::claimOf).lastOrNull(), now())
        }

    private fun readClaims(outcome: ReadOutcome): List<ClaimEffect> =
        when (outcome) {
            is ReadOutcome.Failed -> claim.readFailed(outOfRange = false, now())
            ReadOutcome.OffsetOutOfRange -> claim.readFailed(outOfRange = true, now())
            // A read from beyond the end would wait for ever for records that are there already.
            is ReadOutcome.Page if outcome.endOffset < outcome.nextOffset -> claim.readFailed(outOfRange = true, now())
            is ReadOutcome.Page -> claim.recordsRead(outcome.nextOffset, outcome.records.mapNotNull(::claimOf), now())
        }

    private fun claimOf(record: KeyedRecord): ClaimRecord? =
        record.value?.takeIf { record.key == CLAIM_KEY }?.let { RecordCodec.decode(ClaimRecord.serializer(), it) }

    private fun acquired(
        token: Long,
        earlierOwnersEnded: Boolean,
    ) {
        log.info { "event=shard-acquired shard=$shard token=$token" }
        val fenced = { if (claim.token == token) perform(claim.displaced("the store has seen a later owner", now())) }
        ShardLoader(shard, token, parts, { claim.token == token }, fenced).load { loaded, writer ->
            journal = writer
            val owner =
                Cell(
                    parts.self.address,
                    token,
                    parts.cellLimits,
                    loaded.copy(earlierOwnersEnded = earlierOwnersEnded),
                    now(),
                )
            cell = owner
            upstreams.clear()
            parts.process.config?.let { events += CellEvent.Configured(it) }
            events += CellEvent.HelpersChanged(parts.process.helpers)
            events += early
            early.clear()
            upstreamList.start()
            log.info { "event=shard-loaded shard=$shard token=$token jobs=${loaded.jobs.size}" }
        }
    }

    private fun lost(reason: String) {
        log.info { "event=shard-lost shard=$shard detail=\"$reason\"" }
        cell = null
        smallerSince = null
        unconfirmedSince = null
        journal?.close()
        journal = null
        events.clear()
        early.clear()
        upstreamList.stop()
    }

    private fun upstreamRecords(
        records: List<KeyedRecord>,
        complete: Boolean,
    ) {
        if (complete) upstreams.clear()
        records.forEach { record ->
            val entry = parts.catalog.upstream(record)?.takeIf(::isOfShard)
            if (entry == null) upstreams -= record.key else upstreams[record.key] = entry
        }
        events += CellEvent.Listed(upstreams.values.toPersistentList())
    }

    /** Racks are not split, as some gangs are faster on one rack. */
    private fun isOfShard(entry: UpstreamEntry): Boolean =
        Math.floorMod((entry.rack ?: entry.id.value).hashCode(), parts.shards) == shard

    private fun carryOut(
        effect: CellEffect,
        owner: Cell,
    ) {
        when (effect) {
            is CellEffect.Order -> {
                val sentAt = now()
                parts.orders.send(effect.via, effect.order) { report ->
                    back(owner) { CellEvent.Reported(effect.order, sentAt, report) }
                }
            }
            is CellEffect.Advise ->
                parts.advice.advise(
                    shard,
                    effect,
                ) { good -> back(owner) { CellEvent.Advised(effect.call, good) } }
            is CellEffect.Store ->
                journal?.write(effect.records) { stored ->
                    back(owner) { if (stored) CellEvent.Stored else CellEvent.StoreFenced }
                }
            is CellEffect.Answer -> parts.process.answer(effect.call, effect.answer)
            is CellEffect.Resign -> if (owner === cell) perform(claim.displaced(effect.reason, now()))
            is CellEffect.Decided -> parts.decisions.write(effect.kind, effect.subject, effect.detail, now())
        }
    }

    /** Events for an owner that has been replaced are dropped. */
    private fun back(
        owner: Cell,
        event: () -> CellEvent,
    ): Unit = parts.post { if (owner === cell) events += event() }

    private fun now(): Instant = parts.clock.instant()

    private companion object {
        const val CLAIM_TOPIC = "keyed.shards"
        const val CLAIM_KEY = "owner"

        /** Pause between two reads of the upstream list; a leaving upstream may get no work after 3 s. */
        val UPSTREAM_POLL: Duration = Duration.ofMillis(400)

        /** Shortest pause between two batches of events; a start in the same region takes 3 ms. */
        val MIN_BATCH_GAP: Duration = Duration.ofMillis(4)

        /** Requests that wait for the end of a takeover. */
        const val MAX_EARLY = 2_000
        val TOO_MANY_EARLY = JobAnswer.Refused("$MAX_EARLY requests wait for the end of a takeover", 1_000)
    }
}
