package org.anvilbarrow.adapters.cell

import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.UpstreamEntry
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant
import java.util.concurrent.CompletableFuture

/** Guards against configurations that count as confirmed although the store may hold a newer one. */
class ConfigFollowerTest {
    private var monotonic = Instant.EPOCH
    private var wall = Instant.EPOCH
    private val store = ManualReads()
    private val delayed = ArrayDeque<() -> Unit>()
    private val versions = ArrayList<Long>()
    private val follower =
        ConfigFollower(
            store,
            Catalog,
            SuspendAwareClock({ monotonic }, { wall }),
            { pause, task -> if (pause.isZero) task() else delayed += task },
        ) { versions += it.version }

    private val age: Long? get() = follower.current?.age()?.toMillis()

    private fun pass(millis: Long) {
        monotonic = monotonic.plusMillis(millis)
        wall = wall.plusMillis(millis)
    }

    private fun start(version: String) {
        follower.start()
        store.newest.removeFirst().complete(NewestOutcome.Complete(listOf(record(version)), 1))
    }

    private fun answer(
        records: List<KeyedRecord>,
        next: Long,
        end: Long = next,
    ) = store.reads.removeFirst().complete(ReadOutcome.Page(records, next, end))

    @Test
    fun `the age counts from the start of the last read that ended`() {
        follower.start()
        pass(140)
        store.newest.removeFirst().complete(NewestOutcome.Complete(listOf(record("1")), 1))
        expectThat(age).isEqualTo(140)
        pass(1_000)
        answer(emptyList(), 1)
        expectThat(age).isEqualTo(1_000)
    }

    @Test
    fun `a read without an answer or with an error confirms nothing`() {
        start("1")
        pass(2_000)
        expectThat(age).isEqualTo(2_000)
        store.reads.removeFirst().complete(ReadOutcome.Failed("rejected"))
        delayed.removeFirst()()
        pass(1_000)
        expectThat(age).isEqualTo(3_000)
        answer(emptyList(), 1)
        expectThat(age).isEqualTo(1_000)
    }

    /** Guards against a suspended VM, whose monotonic clock stops, that takes an old configuration for a recent one. */
    @Test
    fun `time for which the VM was suspended counts`() {
        start("1")
        wall = wall.plusSeconds(20)
        expectThat(age).isEqualTo(20_000)
    }

    @Test
    fun `an older version does not replace a newer one`() {
        start("7")
        answer(listOf(record("5")), 2)
        expectThat(follower.current?.config?.version).isEqualTo(7)
        answer(listOf(record("9")), 3)
        expectThat(versions).containsExactly(7L, 9L)
    }

    @Test
    fun `a page that ends before the log does confirms nothing`() {
        start("1")
        pass(500)
        answer(emptyList(), 1, end = 3)
        expectThat(age).isEqualTo(500)
    }

    /** Guards against an offset of a history that the store has dropped, from which nothing is ever read. */
    @Test
    fun `all records are read again if the log ends before the offset`() {
        start("1")
        pass(500)
        answer(emptyList(), 1, end = 0)
        expectThat(age).isEqualTo(500)
        expectThat(store.newest).hasSize(1)
    }

    /** Guards against keys that an unreadable version has withdrawn. */
    @Test
    fun `a version that cannot be read leaves the current one unconfirmed`() {
        start("1")
        pass(500)
        answer(listOf(record("unreadable")), 2)
        pass(500)
        answer(emptyList(), 2)
        expectThat(age).isEqualTo(1_000)
        answer(listOf(KeyedRecord("wave/1", byteArrayOf(1))), 3)
        expectThat(age).isEqualTo(1_000)
        answer(listOf(record("2")), 4)
        expectThat(age).isEqualTo(0)
    }

    @Test
    fun `there is no configuration before the first one was read`() {
        follower.start()
        store.newest.removeFirst().complete(NewestOutcome.Complete(emptyList(), 0))
        answer(emptyList(), 0)
        expectThat(follower.current).isNull()
    }

    private object Catalog : PlatformCatalog {
        override val operatorTopic = "operators"
        override val upstreamTopic = "upstreams"

        override fun isConfig(record: KeyedRecord): Boolean = record.key == "config"

        override fun config(record: KeyedRecord): CellConfig? =
            record.value
                ?.takeIf { isConfig(record) }
                ?.decodeToString()
                ?.toLongOrNull()
                ?.let { CellConfig(it) }

        override fun upstream(record: KeyedRecord): UpstreamEntry? = null
    }

    /** A store whose reads the test answers. */
    private class ManualReads : CellStore {
        val newest = ArrayDeque<CompletableFuture<NewestOutcome>>()
        val reads = ArrayDeque<CompletableFuture<ReadOutcome>>()

        override fun append(
            topic: String,
            partition: Int,
            records: List<KeyedRecord>,
            condition: AppendCondition,
        ): CompletableFuture<AppendOutcome> = error("unexpected append")

        override fun read(
            topic: String,
            partition: Int,
            from: Long,
            wait: Duration,
        ) = CompletableFuture<ReadOutcome>().also { reads += it }

        override fun newest(
            topic: String,
            partition: Int,
        ) = CompletableFuture<NewestOutcome>().also { newest += it }
    }

    private fun record(version: String) = KeyedRecord("config", version.encodeToByteArray())
}
