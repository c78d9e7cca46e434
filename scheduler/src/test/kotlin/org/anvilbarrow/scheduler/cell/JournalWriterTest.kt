package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Retries of the owner's appends while the store is slow, or stops answering and recovers. */
class JournalWriterTest {
    private val store = ManualStore()
    private val writer = JournalWriter(0, 7, store.context)
    private val results = ArrayList<Pair<String, Boolean>>()

    private fun write(key: String): Unit =
        writer.write(listOf(KeyedRecord(key, byteArrayOf(1))), { refused += it }) { results += key to it }

    private val refused = ArrayList<String>()

    private fun sequences() = store.appends.map { (it.condition as AppendCondition.Once).sequence }

    /** Guards against an owner that waits on a dead connection for 1.5 s after the store has recovered. */
    @Test
    fun `an unanswered batch is sent again with its sequence number, and counts once`() {
        write("a")
        store.run(Duration.ofMillis(1_400))
        expectThat(store.appends.size).isGreaterThan(2)
        expectThat(sequences().distinct()).containsExactly(1L)
        store.appends
            .last()
            .reply
            .complete(AppendOutcome.Appended(1))
        expectThat(results).containsExactly("a" to true)
        store.appends
            .first()
            .reply
            .complete(AppendOutcome.Unanswered("timeout"))
        val attempts = store.appends.size
        store.run(Duration.ofSeconds(5))
        expectThat(store.appends).hasSize(attempts)
        expectThat(results).hasSize(1)
    }

    /** Guards against needless retries that send each batch several times to a store that is merely slow. */
    @Test
    fun `a slow store is given twice the latency of its last answer`() {
        write("a")
        store.run(Duration.ofMillis(400))
        store.appends
            .first()
            .reply
            .complete(AppendOutcome.Appended(1))
        write("b")
        store.run(Duration.ofMillis(700))
        expectThat(sequences().count { it == 2L }).isLessThan(2)
    }

    @Test
    fun `a rejected batch that the store does not have shows a later owner`() {
        write("a")
        store.appends
            .single()
            .reply
            .complete(AppendOutcome.OutOfSequence(expected = 0))
        expectThat(results).containsExactly("a" to false)
    }

    /** Guards against callers that are told of a stored job although the store has nothing of it. */
    @Test
    fun `a batch sent once is not stored if the store expects a later sequence number`() {
        write("a")
        store.appends
            .single()
            .reply
            .complete(AppendOutcome.OutOfSequence(expected = 2))
        expectThat(results).containsExactly("a" to false)
    }

    /** Guards against the same for a batch whose first answer was lost. */
    @Test
    fun `a repeated batch is not stored if the store expects a number after the next`() {
        write("a")
        store.run(Duration.ofMillis(500))
        expectThat(store.appends).hasSize(2)
        store.appends
            .last()
            .reply
            .complete(AppendOutcome.OutOfSequence(expected = 3))
        expectThat(results).containsExactly("a" to false)
    }

    /** Guards against an owner that resigns because its own attempt was stored and only the answer was lost. */
    @Test
    fun `a batch is stored if another attempt of it may have made the store expect the next number`() {
        listOf(0, 1).forEach { answered ->
            val sent = store.appends.size
            write("$answered")
            store.run(Duration.ofMillis(500))
            expectThat(store.appends).hasSize(sent + 2)
            store.appends[sent + answered].reply.complete(AppendOutcome.OutOfSequence(expected = answered + 2L))
        }
        expectThat(results).containsExactly("0" to true, "1" to true)
    }

    /** Guards against a record that is refused for good and repeated for good, which stops all jobs. */
    @Test
    fun `a refused record is left out and the others are stored`() {
        val keys = listOf("a", "b", "large", "c", "d")
        writer.write(keys.map { KeyedRecord(it, byteArrayOf(1)) }, { refused += it }) { results += "all" to it }
        val stored = ArrayList<String>()
        val storedSequences = ArrayList<Long>()
        while (results.isEmpty()) {
            val append = store.appends.last { !it.reply.isDone }
            val isRefused = "large" in append.keys
            if (!isRefused) {
                stored += append.keys
                storedSequences += (append.condition as AppendCondition.Once).sequence
            }
            append.reply.complete(if (isRefused) AppendOutcome.Refused("size") else AppendOutcome.Appended(1))
        }
        expectThat(refused).containsExactly("large")
        expectThat(stored).containsExactly("a", "b", "c", "d")
        expectThat(results).containsExactly("all" to true)
        expectThat(storedSequences.toList()).isEqualTo((1L..storedSequences.size).toList())
        val attempts = store.appends.size
        store.run(Duration.ofSeconds(5))
        expectThat(store.appends).hasSize(attempts)
    }

    /** An append that the store has not answered yet. */
    internal class PendingAppend(
        val condition: AppendCondition,
        val keys: List<String>,
        val reply: CompletableFuture<AppendOutcome> = CompletableFuture(),
    )
}
