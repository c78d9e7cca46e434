package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.adapters.cell.CellStore
import org.anvilbarrow.adapters.cell.NewestOutcome
import org.anvilbarrow.adapters.cell.ReadOutcome
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.CompletableFuture

internal class JournalFencingTest {
    /** Tracks epochs and sequence numbers per producer, as the platform's store does. */
    private class EpochStore : CellStore {
        private class Producer(
            var epoch: Long = -1,
            var lastSequence: Long? = null,
        )

        private val producers = HashMap<String, Producer>()
        val records = ArrayList<KeyedRecord>()

        override fun append(
            topic: String,
            partition: Int,
            records: List<KeyedRecord>,
            condition: AppendCondition,
        ): CompletableFuture<AppendOutcome> = CompletableFuture.completedFuture(append(records, condition))

        private fun append(
            records: List<KeyedRecord>,
            condition: AppendCondition,
        ): AppendOutcome {
            check(condition is AppendCondition.Once)
            val producer = producers.getOrPut(condition.producer, ::Producer)
            if (condition.epoch < producer.epoch) return AppendOutcome.Fenced
            if (condition.epoch > producer.epoch) producer.lastSequence = null
            producer.epoch = condition.epoch
            if (records.isNotEmpty()) {
                val expected = producer.lastSequence?.plus(1) ?: condition.sequence
                if (condition.sequence != expected) return AppendOutcome.OutOfSequence(expected)
                producer.lastSequence = condition.sequence
            }
            this.records += records
            return AppendOutcome.Appended(this.records.size.toLong())
        }

        override fun read(
            topic: String,
            partition: Int,
            from: Long,
            wait: Duration,
        ): CompletableFuture<ReadOutcome> = error("unexpected read")

        override fun newest(
            topic: String,
            partition: Int,
        ): CompletableFuture<NewestOutcome> =
            CompletableFuture.completedFuture(NewestOutcome.Complete(records.toList(), records.size.toLong()))
    }

    private val clock = InstantSource.system()
    private val store = EpochStore()

    private fun contextOf(address: String) = testContext(address, store, clock) { _, task -> task() }

    /** Takes over the shard at [address] and returns the new owner's writer. */
    private fun takeOver(
        address: String,
        token: Long,
    ): JournalWriter {
        var writer: JournalWriter? = null
        ShardLoader(0, token, contextOf(address), { true }, { }).load { _, loaded -> writer = loaded }
        return checkNotNull(writer) { "the shard was not loaded for the owner with token $token" }
    }

    private fun JournalWriter.stores(key: String): Boolean? {
        var stored: Boolean? = null
        write(listOf(KeyedRecord(key, byteArrayOf(1))), onRefused = {}) { stored = it }
        return stored
    }

    /**
     * Guards against a batch of an earlier owner that is stored after its successor has read the jobs. The earlier
     * owner then acknowledges task ends that the successor does not know of, and the successor runs these tasks again.
     */
    @Test
    fun `no batch of an earlier owner is stored once its successor has read the jobs`() {
        val earlier = takeOver("10.0.0.1:7000", token = 4)
        expectThat(earlier.stores("a")).isEqualTo(true)
        val later = takeOver("10.0.0.2:7000", token = 9)
        expectThat(earlier.stores("b")).isEqualTo(false)
        expectThat(later.stores("c")).isEqualTo(true)
        expectThat(store.records.map { it.key }).isEqualTo(listOf("a", "c"))
    }

    /** Guards against jobs that are acknowledged although they were appended under a token that was given up. */
    @Test
    fun `a batch under a token that was used before is not taken for stored`() {
        val earlier = takeOver("10.0.0.1:7000", token = 4)
        listOf("a", "b").forEach { expectThat(earlier.stores(it)).isEqualTo(true) }
        val again = takeOver("10.0.0.1:7000", token = 4)
        expectThat(again.stores("c")).isEqualTo(false)
        expectThat(store.records.map { it.key }).isEqualTo(listOf("a", "b"))
    }
}
