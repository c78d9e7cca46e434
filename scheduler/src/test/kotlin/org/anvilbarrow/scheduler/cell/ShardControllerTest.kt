package org.anvilbarrow.scheduler.cell

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.adapters.cell.CellStore
import org.anvilbarrow.adapters.cell.DelayedExecutor
import org.anvilbarrow.adapters.cell.NewestOutcome
import org.anvilbarrow.adapters.cell.PauseDetector
import org.anvilbarrow.adapters.cell.PlatformCatalog
import org.anvilbarrow.adapters.cell.ReadOutcome
import org.anvilbarrow.kernel.jobs.CallKey
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.CellEvent
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.jobs.QueueConfig
import org.anvilbarrow.kernel.jobs.UpstreamEntry
import org.anvilbarrow.kernel.ownership.ClaimLimits
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.ClaimRecord
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture

/** An owner that is paused for longer than a takeover takes, or that an upstream takes for a displaced one. */
internal class ShardControllerTest {
    private class DelayedTask(
        val at: Instant,
        val task: () -> Unit,
    )

    private var now: Instant = Instant.ofEpochSecond(1_000)
    private val delayed = ArrayList<DelayedTask>()
    private val executor =
        DelayedExecutor { pause, task -> if (pause.isZero) task() else delayed += DelayedTask(now.plus(pause), task) }

    /** Keeps one log per topic; answers at once, and drops calls while [isSlow]. */
    private inner class LogStore : CellStore {
        val logs = HashMap<String, ArrayList<KeyedRecord>>()
        var isSlow = false

        /** True if the store rejects all batches of the owner as out of sequence. */
        var isOutOfSequence = false

        /** True if claims are appended but not answered until [answerClaims]. */
        var holdsClaimAnswers = false
        val heldClaimAnswers = ArrayList<() -> Unit>()

        fun answerClaims() {
            holdsClaimAnswers = false
            heldClaimAnswers.forEach { it() }
            heldClaimAnswers.clear()
        }

        override fun append(
            topic: String,
            partition: Int,
            records: List<KeyedRecord>,
            condition: AppendCondition,
        ): CompletableFuture<AppendOutcome> {
            if (isSlow) return CompletableFuture()
            if (isOutOfSequence && condition is AppendCondition.Once) {
                return CompletableFuture.completedFuture(AppendOutcome.OutOfSequence(condition.sequence + 7))
            }
            val outcome = append(topic, records, condition)
            if (topic != CLAIM_TOPIC || !holdsClaimAnswers) return CompletableFuture.completedFuture(outcome)
            val reply = CompletableFuture<AppendOutcome>()
            heldClaimAnswers += { reply.complete(outcome) }
            return reply
        }

        private fun append(
            topic: String,
            records: List<KeyedRecord>,
            condition: AppendCondition,
        ): AppendOutcome {
            val log = logs.getOrPut(topic, ::ArrayList)
            val end = log.size.toLong()
            if (condition is AppendCondition.EndsAt && condition.offset != end) {
                return AppendOutcome.Conflict(end)
            }
            log += records
            return AppendOutcome.Appended(log.size.toLong())
        }

        /** Waits for records like the platform's reads. */
        override fun read(
            topic: String,
            partition: Int,
            from: Long,
            wait: Duration,
        ): CompletableFuture<ReadOutcome> {
            val reply = CompletableFuture<ReadOutcome>()
            val answer = {
                val records = logs[topic].orEmpty().drop(from.toInt())
                val end = from + records.size
                reply.complete(ReadOutcome.Page(records, end, end))
                Unit
            }
            if (logs[topic].orEmpty().size > from) answer() else executor.run(wait, answer)
            return reply
        }

        override fun newest(
            topic: String,
            partition: Int,
        ): CompletableFuture<NewestOutcome> {
            val log = logs[topic].orEmpty()
            val newest = log.associateBy { it.key }.values.toList()
            return CompletableFuture.completedFuture(NewestOutcome.Complete(newest, log.size.toLong()))
        }
    }

    private object SingleUpstreamCatalog : PlatformCatalog {
        override val operatorTopic = "operators"
        override val upstreamTopic = "upstreams"

        override fun isConfig(record: KeyedRecord): Boolean = false

        override fun config(record: KeyedRecord): CellConfig? = null

        override fun upstream(record: KeyedRecord): UpstreamEntry =
            UpstreamEntry(UpstreamId(record.key), "w:1", "pool", "domain", "region", Resources(1_000, 1_000))
    }

    private val self = CellMember("10.0.0.1:7000", "region", "domain", 1.0)
    private val view =
        object : CellProcessView {
            override val config: CellConfig? = null
            override val helpers: ImmutableList<CellMember> = persistentListOf(self)

            override fun broadcast(message: CellMessage) = Unit

            override fun answer(
                call: CallKey,
                answer: JobAnswer,
            ) = Unit
        }
    private val store = LogStore().apply { logs["upstreams"] = arrayListOf(KeyedRecord("w", byteArrayOf(1))) }
    private val orders = ArrayList<UpstreamOrder>()
    private val controller = ShardController(0, context()) { }

    /** True if the upstream answers that it has seen a later token. */
    private var isDisplacing = false

    /** Queues on which each look-up throws, as after a violated invariant. */
    private object UnreadableQueues : ImmutableMap<String, QueueConfig> by persistentMapOf() {
        override fun get(key: String): QueueConfig? = error("the queues cannot be read")

        override fun containsKey(key: String): Boolean = error("the queues cannot be read")
    }

    /** Records [order] and answers as an idle upstream, so that the owner keeps observing it. */
    private fun record(order: UpstreamOrder): CompletableFuture<UpstreamReport> {
        orders += order
        if (isDisplacing) return CompletableFuture.completedFuture(UpstreamReport.Observed(Observation.Displaced))
        val seen = Observation.Seen(Duration.between(Instant.EPOCH, now).toMillis(), 1, emptyList(), emptyList())
        return CompletableFuture.completedFuture(UpstreamReport.Observed(seen))
    }

    private fun context() =
        CellContext(
            self,
            1,
            1,
            { now },
            { PauseDetector({ now }, { now }) },
            executor,
            store,
            OrderDispatch(
                self.address,
                ::record,
                { now },
                CorrelationNumbers(SplittableRandom(1)),
                { it() },
            ) { _, _ -> false },
            SingleUpstreamCatalog,
            { _, _, _ -> },
            DecisionLog(1),
            CellLimits(),
            ClaimLimits(),
            view,
        )

    private fun advance(time: Duration) {
        now = now.plus(time)
        val due = delayed.filter { !it.at.isAfter(now) }
        delayed -= due.toSet()
        due.forEach { it.task() }
        controller.tick(now)
        controller.flush(now)
    }

    private fun acquireShard() {
        repeat(40) { advance(TICK_INTERVAL) }
        expectThat(controller.isOwner).isTrue()
        expectThat(orders).isNotEmpty()
        orders.clear()
    }

    private fun claimFromOtherProcess() {
        val log = store.logs.getValue(CLAIM_TOPIC)
        val claim = ClaimRecord("10.0.0.2:7000", 1, log.size + 1L)
        log += KeyedRecord("owner", RecordCodec.encode(ClaimRecord.serializer(), claim))
    }

    /** Guards against orders sent under a claim that another process replaced during the pause. */
    @Test
    fun `an owner that was paused sends nothing once another process has claimed the shard`() {
        acquireShard()
        claimFromOtherProcess()
        advance(Duration.ofSeconds(4))
        repeat(10) { advance(TICK_INTERVAL) }
        expectThat(orders).isEmpty()
        expectThat(controller.isOwner).isFalse()
    }

    /** Guards against such orders while the store, which holds the other claim, does not answer. */
    @Test
    fun `an owner that was paused sends nothing until the store confirms its claim`() {
        acquireShard()
        store.isSlow = true
        advance(Duration.ofSeconds(4))
        repeat(20) { advance(TICK_INTERVAL) }
        expectThat(orders).isEmpty()
    }

    @Test
    fun `an owner that was paused resumes once its claim is confirmed`() {
        acquireShard()
        advance(Duration.ofSeconds(4))
        repeat(10) { advance(TICK_INTERVAL) }
        expectThat(controller.isOwner).isTrue()
        expectThat(orders).isNotEmpty()
    }

    /** Why an owner resigns although no other process has claimed the shard. */
    enum class Resignation { FENCED_BY_UPSTREAM, INVARIANT_VIOLATED, JOURNAL_OUT_OF_SEQUENCE }

    /** Guards against an owner that appends under a token that it gave up; the store has none of these batches. */
    @ParameterizedTest
    @EnumSource
    fun `an owner that resigned during a renewal owns the shard again only under a new token`(cause: Resignation) {
        acquireShard()
        val given = newestClaim().token
        store.holdsClaimAnswers = true
        repeat(20) { if (store.heldClaimAnswers.isEmpty()) advance(TICK_INTERVAL) }
        provoke(cause)
        repeat(20) { if (controller.isOwner) advance(TICK_INTERVAL) }
        isDisplacing = false
        store.isOutOfSequence = false
        expectThat(store.heldClaimAnswers).isNotEmpty()
        store.answerClaims()
        advance(TICK_INTERVAL)
        expectThat(controller.isOwner).isFalse()
        repeat(40) { advance(TICK_INTERVAL) }
        expectThat(controller.isOwner).isTrue()
        expectThat(newestClaim().token).isGreaterThan(given)
    }

    private fun provoke(cause: Resignation) {
        when (cause) {
            Resignation.FENCED_BY_UPSTREAM -> isDisplacing = true
            Resignation.INVARIANT_VIOLATED -> {
                controller.configured(CellConfig(1, UnreadableQueues))
                val spec = JobSpec("payload", listOf(StepSpec(1, Resources(1, 1), 100)))
                val request = JobRequest.Submit(JobId("5c0e7a21d94b36f8"), "q", spec)
                controller.requested(CellEvent.Requested(CallKey("10.0.0.2:7000", 1), request))
            }
            Resignation.JOURNAL_OUT_OF_SEQUENCE -> {
                store.isOutOfSequence = true
                store.logs.getValue("upstreams") += KeyedRecord("w2", byteArrayOf(1))
            }
        }
    }

    private fun newestClaim(): ClaimRecord {
        val record = store.logs.getValue(CLAIM_TOPIC).last()
        return checkNotNull(RecordCodec.decode(ClaimRecord.serializer(), checkNotNull(record.value)))
    }

    private companion object {
        const val CLAIM_TOPIC = "keyed.shards"
        val TICK_INTERVAL: Duration = Duration.ofMillis(50)
    }
}
