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
 * Follows the claim to one shard, and runs the shard's [Cell] while this process holds the claim.
 *
 * Confined to the control thread.
 */
internal class ShardController(
    private val shard: Int,
    private val context: CellContext,
    private val onOwner: (ClaimRecord?) -> Unit,
) {
    private val claim = ShardClaim(context.self.address, context.incarnation, context.claimLimits, context.self.cores)
    private val events = ArrayList<CellEvent>()
    private val earlyRequests = ArrayList<CellEvent.Requested>()
    private var cell: Cell? = null
    private var journal: JournalWriter? = null
    private var smallerSince: Instant? = null
    private val pauseDetector = context.pauseDetector()

    /** End of the last pause of this process, until the store confirms the claim again. */
    private var unconfirmedSince: Instant? = null
    private var flushScheduled = false
    private var nextFlushAt: Instant = Instant.MIN
    private val upstreams = HashMap<String, UpstreamEntry>()
    private var listReadBeganAt: Instant = Instant.MIN
    private val upstreamFollower =
        TopicFollower(
            context.store,
            context.catalog.upstreamTopic,
            0,
            Duration.ZERO,
            UPSTREAM_POLL,
            context.executor,
            onReadBegins = { listReadBeganAt = now() },
            onCurrent = { events += CellEvent.ListConfirmed(listReadBeganAt) },
            onRecords = ::upstreamRecords,
        )

    val isOwner: Boolean get() = claim.token != null

    /** True if the store can be read and shows no live owner, so that a takeover is expected. */
    fun expectsOwner(now: Instant): Boolean = claim.isStoreReadable && !claim.isOwnedByLivePeer(now)

    /** State of the shard for metrics, or null if this process does not own it. */
    val owned: Cell? get() = cell

    fun tick(now: Instant) {
        checkForPause(now)
        perform(claim.tick(now))
        checkForLargerProcess(now)
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

    fun claimAnnounced(
        record: ClaimRecord,
        now: Instant,
    ): Unit = perform(claim.claimAnnounced(record, now))

    fun configured(config: CellConfig) {
        if (cell != null) events += CellEvent.Configured(config)
    }

    /** Suspends work after a pause in which another process may have claimed the shard, until a new confirmation. */
    private fun checkForPause(now: Instant) {
        val gap = pauseDetector.sinceLast()
        if (gap < context.claimLimits.longestPause || claim.token == null) return
        log.info { "event=owner-resumed shard=$shard token=${claim.token} detail=\"process was paused for $gap\"" }
        unconfirmedSince = now
        perform(claim.resumed(now))
    }

    private fun confirmed(at: Instant) {
        cell?.confirmed(at)
        if (unconfirmedSince?.isAfter(at) == false) unconfirmedSince = null
    }

    /** Hands over the shard if the largest process of the cell keeps having many more cores than this one. */
    private fun checkForLargerProcess(now: Instant) {
        if (cell == null) return
        val largest = context.process.helpers.maxOfOrNull { it.cores } ?: return
        if (context.self.cores >= largest * context.claimLimits.smallerCoreRatio) {
            smallerSince = null
            return
        }
        val since = smallerSince ?: now.also { smallerSince = it }
        if (Duration.between(since, now) < context.claimLimits.handOverDelay) return
        smallerSince = null
        log.info { "event=shard-handed-over shard=$shard cores=${context.self.cores} largest=$largest" }
        perform(claim.handOver(largest, now))
    }

    fun helpersChanged(helpers: ImmutableList<CellMember>) {
        if (cell != null) events += CellEvent.HelpersChanged(helpers)
    }

    fun requested(event: CellEvent.Requested) {
        when {
            cell != null -> events += event
            // Callers wait longer than a takeover takes.
            isOwner && earlyRequests.size < MAX_EARLY_REQUESTS -> earlyRequests += event
            isOwner -> context.process.answer(event.call, TOO_MANY_EARLY_REQUESTS)
            else -> context.process.answer(event.call, JobAnswer.NotOwner)
        }
    }

    /**
     * Handles the events collected since the last batch, or postpones that until the minimum gap has passed.
     *
     * Each batch considers all waiting steps, so an overloaded owner handles fewer and larger batches.
     */
    fun flush(now: Instant) {
        val owner = cell ?: return
        if (events.isEmpty() || flushScheduled || unconfirmedSince != null) return
        if (now.isBefore(nextFlushAt)) {
            flushScheduled = true
            return context.executor.run(Duration.between(now, nextFlushAt)) { flushScheduled = false }
        }
        val batch = events.toList()
        events.clear()
        handle(owner, batch, now).forEach { execute(it, owner) }
        val ended = now()
        nextFlushAt = ended.plus(maxOf(MIN_BATCH_GAP, Duration.between(now, ended)))
    }

    /** Gives up the shard if an invariant is violated; the next owner starts from the stored state. */
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
            perform(claim.displaced("the owner's state violates an invariant: $e", now))
            emptyList()
        }

    private fun perform(effects: List<ClaimEffect>): Unit = effects.forEach(::perform)

    private fun perform(effect: ClaimEffect) {
        when (effect) {
            ClaimEffect.ReadNewest ->
                context.store.newest(CLAIM_TOPIC, shard).thenAccept { context.post { perform(newestClaim(it)) } }
            is ClaimEffect.Read ->
                context.store.read(CLAIM_TOPIC, shard, effect.from, effect.wait).thenAccept {
                    context.post { perform(readClaims(it)) }
                }
            is ClaimEffect.Append -> append(effect)
            is ClaimEffect.Acquired -> acquired(effect.token, effect.earlierOwnersEnded)
            is ClaimEffect.Confirmed -> confirmed(effect.at)
            is ClaimEffect.AskForSuccessor -> {
                log.warn { "event=successor-wanted shard=$shard token=${effect.token}" }
                context.process.broadcast(CellMessage.SuccessorWanted(shard, effect.token))
            }
            is ClaimEffect.Lost -> lost(effect.reason)
            is ClaimEffect.OwnerChanged -> {
                log.info {
                    "event=owner-changed shard=$shard owner=${effect.owner?.address} token=${effect.owner?.token}"
                }
                effect.owner?.let { context.process.broadcast(CellMessage.Claimed(shard, it)) }
                onOwner(effect.owner)
            }
        }
    }

    private fun append(effect: ClaimEffect.Append) {
        val record = KeyedRecord(CLAIM_KEY, RecordCodec.encode(ClaimRecord.serializer(), effect.record))
        context.store.append(CLAIM_TOPIC, shard, listOf(record), AppendCondition.EndsAt(effect.at)).thenAccept {
            val result =
                when (it) {
                    is AppendOutcome.Appended -> ClaimAppendResult.Appended
                    is AppendOutcome.Unanswered -> ClaimAppendResult.Unanswered
                    is AppendOutcome.Rejected, is AppendOutcome.Refused -> ClaimAppendResult.Rejected
                    else -> ClaimAppendResult.Conflict
                }
            context.post { perform(claim.appended(effect.number, result, now())) }
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
            // A read from an offset beyond the end would wait forever for records that already exist.
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
        val fenced = { if (claim.token == token) perform(claim.displaced("fenced by a later owner", now())) }
        ShardLoader(shard, token, context, { claim.token == token }, fenced).load { loaded, writer ->
            journal = writer
            val owner =
                Cell(
                    context.self.address,
                    token,
                    context.cellLimits,
                    loaded.copy(earlierOwnersEnded = earlierOwnersEnded),
                    now(),
                )
            cell = owner
            upstreams.clear()
            context.process.config?.let { events += CellEvent.Configured(it) }
            events += CellEvent.HelpersChanged(context.process.helpers)
            events += earlyRequests
            earlyRequests.clear()
            upstreamFollower.start()
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
        earlyRequests.clear()
        upstreamFollower.stop()
    }

    private fun upstreamRecords(
        records: List<KeyedRecord>,
        complete: Boolean,
    ) {
        if (complete) upstreams.clear()
        records.forEach { record ->
            val entry = context.catalog.upstream(record)?.takeIf(::isOfShard)
            if (entry == null) upstreams -= record.key else upstreams[record.key] = entry
        }
        events += CellEvent.Listed(upstreams.values.toPersistentList())
    }

    /** All upstreams of a rack belong to one shard, because some gangs run faster on one rack. */
    private fun isOfShard(entry: UpstreamEntry): Boolean =
        Math.floorMod((entry.rack ?: entry.id.value).hashCode(), context.shards) == shard

    private fun execute(
        effect: CellEffect,
        owner: Cell,
    ) {
        when (effect) {
            is CellEffect.Order -> {
                val sentAt = now()
                context.orders.send(effect.via, effect.order) { report ->
                    deliver(owner) { CellEvent.Reported(effect.order, sentAt, report) }
                }
            }
            is CellEffect.Advise ->
                context.advice.advise(
                    shard,
                    effect,
                ) { good -> deliver(owner) { CellEvent.Advised(effect.call, good) } }
            is CellEffect.Store ->
                journal?.write(
                    effect.records,
                    onRefused = { key -> deliver(owner) { CellEvent.RecordRefused(key) } },
                ) { stored -> deliver(owner) { if (stored) CellEvent.Stored else CellEvent.StoreFenced } }
            is CellEffect.Answer -> context.process.answer(effect.call, effect.answer)
            is CellEffect.Resign -> if (owner === cell) perform(claim.displaced(effect.reason, now()))
            is CellEffect.Decided -> context.decisions.write(effect.kind, effect.subject, effect.detail, now())
        }
    }

    /** Posts [event] to [owner]; drops it if that owner has been replaced. */
    private fun deliver(
        owner: Cell,
        event: () -> CellEvent,
    ): Unit = context.post { if (owner === cell) events += event() }

    private fun now(): Instant = context.clock.instant()

    private companion object {
        const val CLAIM_TOPIC = "keyed.shards"
        const val CLAIM_KEY = "owner"

        /** Pause between two reads of the upstream list; a leaving upstream must not get work after 3 s. */
        val UPSTREAM_POLL: Duration = Duration.ofMillis(400)

        /** Minimum pause between two event batches; starting a task in the same region takes 3 ms. */
        val MIN_BATCH_GAP: Duration = Duration.ofMillis(4)

        /** Limit of requests queued during a takeover. */
        const val MAX_EARLY_REQUESTS = 2_000
        val TOO_MANY_EARLY_REQUESTS =
            JobAnswer.Refused("$MAX_EARLY_REQUESTS requests wait for the end of a takeover", 1_000)
    }
}
