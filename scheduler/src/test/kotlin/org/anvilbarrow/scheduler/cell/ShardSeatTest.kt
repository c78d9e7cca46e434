package org.anvilbarrow.scheduler.cell

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
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
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.jobs.UpstreamEntry
import org.anvilbarrow.kernel.ownership.ClaimLimits
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.ClaimRecord
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant
import java.util.concurrent.CompletableFuture

/** An owner that stands still for longer than it takes others to claim its shard. */
internal class ShardSeatTest {
    private class Timed(
        val at: Instant,
        val task: () -> Unit,
    )

    private var now: Instant = Instant.ofEpochSecond(1_000)
    private val timed = ArrayList<Timed>()
    private val later =
        DelayedExecutor { pause, task -> if (pause.isZero) task() else timed += Timed(now.plus(pause), task) }

    /** Partitions by topic; answers at once, or when [isSlow] is cleared. */
    private inner class LogStore : CellStore {
        val logs = HashMap<String, ArrayList<KeyedRecord>>()
        var isSlow = false

        override fun append(
            topic: String,
            partition: Int,
            records: List<KeyedRecord>,
            condition: AppendCondition,
        ): CompletableFuture<AppendOutcome> {
            if (isSlow) return CompletableFuture()
            val log = logs.getOrPut(topic, ::ArrayList)
            val end = log.size.toLong()
            if (condition is AppendCondition.EndsAt && condition.offset != end) {
                return CompletableFuture.completedFuture(AppendOutcome.Conflict(end))
            }
            log += records
            return CompletableFuture.completedFuture(AppendOutcome.Appended(log.size.toLong()))
        }

        /** Readers of the platform wait for records; here a read without any stays open. */
        override fun read(
            topic: String,
            partition: Int,
            from: Long,
            wait: Duration,
        ): CompletableFuture<ReadOutcome> {
            val records = logs[topic].orEmpty().drop(from.toInt())
            val end = from + records.size
            return if (records.isEmpty()) {
                CompletableFuture()
            } else {
                CompletableFuture.completedFuture(ReadOutcome.Page(records, end, end))
            }
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

    private object OneUpstream : PlatformCatalog {
        override val operatorTopic = "operators"
        override val upstreamTopic = "upstreams"

        override fun config(record: KeyedRecord): CellConfig? = null

        override fun upstream(record: KeyedRecord): UpstreamEntry =
            UpstreamEntry(UpstreamId(record.key), "w:1", "pool", "domain", "region", Resources(1_000, 1_000))
    }

    private val self = CellMember("10.0.0.1:7000", "region", "domain", 1.0)
    private val view =
        object : CellProcessView {
            override val config: CellConfig? = null
            override val helpers: ImmutableList<CellMember> = persistentListOf(self)

            override fun tellPeers(message: CellMessage) = Unit

            override fun answer(
                call: CallKey,
                answer: JobAnswer,
            ) = Unit
        }
    private val store = LogStore().apply { logs["upstreams"] = arrayListOf(KeyedRecord("w", byteArrayOf(1))) }
    private val orders = ArrayList<UpstreamOrder>()
    private val seat = ShardSeat(0, parts()) { }

    /** Records [order] and answers as an upstream without work, so that the owner looks at it again and again. */
    private fun record(order: UpstreamOrder): CompletableFuture<UpstreamReport> {
        orders += order
        val seen = Observation.Seen(Duration.between(Instant.EPOCH, now).toMillis(), 1, emptyList(), emptyList())
        return CompletableFuture.completedFuture(UpstreamReport.Observed(seen))
    }

    private fun parts() =
        CellParts(
            self,
            1,
            1,
            { now },
            { PauseDetector({ now }, { now }) },
            later,
            store,
            OrderDispatch(self.address, ::record, { now }, { it() }) { _, _ -> false },
            OneUpstream,
            { _, _, _ -> },
            DecisionLog(1),
            CellLimits(),
            ClaimLimits(),
            view,
        )

    private fun step(time: Duration) {
        now = now.plus(time)
        val due = timed.filter { !it.at.isAfter(now) }
        timed -= due.toSet()
        due.forEach { it.task() }
        seat.tick(now)
        seat.flush(now)
    }

    private fun own() {
        repeat(40) { step(TICK) }
        expectThat(seat.isOwner).isTrue()
        expectThat(orders).isNotEmpty()
        orders.clear()
    }

    private fun claimByOther() {
        val log = store.logs.getValue("keyed.shards")
        val claim = ClaimRecord("10.0.0.2:7000", 1, log.size + 1L)
        log += KeyedRecord("owner", RecordCodec.encode(ClaimRecord.serializer(), claim))
    }

    /** Guards against orders under a claim that another process took over during the pause. */
    @Test
    fun `an owner that was paused sends nothing once another process has claimed`() {
        own()
        claimByOther()
        step(Duration.ofSeconds(4))
        repeat(10) { step(TICK) }
        expectThat(orders).isEmpty()
        expectThat(seat.isOwner).isFalse()
    }

    /** Guards against the same while the store, which knows of the other claim, does not answer. */
    @Test
    fun `an owner that was paused sends nothing until the store confirms its claim`() {
        own()
        store.isSlow = true
        step(Duration.ofSeconds(4))
        repeat(20) { step(TICK) }
        expectThat(orders).isEmpty()
    }

    @Test
    fun `an owner that was paused goes on once its claim is confirmed`() {
        own()
        step(Duration.ofSeconds(4))
        repeat(10) { step(TICK) }
        expectThat(seat.isOwner).isTrue()
        expectThat(orders).isNotEmpty()
    }

    private companion object {
        val TICK: Duration = Duration.ofMillis(50)
    }
}
