package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** The owner's appends while the store falls silent and comes back, or is slow. */
class JournalWriterTest {
    private val world = WriterWorld()
    private val writer = JournalWriter(0, 7, world.parts)
    private val results = ArrayList<Pair<String, Boolean>>()

    private fun write(key: String): Unit =
        writer.write(listOf(KeyedRecord(key, byteArrayOf(1)))) { results += key to it }

    private fun sequences() = world.appends.map { (it.condition as AppendCondition.Once).sequence }

    /** Guards against an owner that waits for 1.5 s on a dead connection after the store is back. */
    @Test
    fun `a batch without an answer is sent again with its number, and counts once`() {
        write("a")
        world.run(Duration.ofMillis(1_400))
        expectThat(world.appends.size).isGreaterThan(2)
        expectThat(sequences().distinct()).containsExactly(1L)
        world.appends
            .last()
            .reply
            .complete(AppendOutcome.Appended(1))
        expectThat(results).containsExactly("a" to true)
        world.appends
            .first()
            .reply
            .complete(AppendOutcome.Unanswered("timeout"))
        val attempts = world.appends.size
        world.run(Duration.ofSeconds(5))
        expectThat(world.appends).hasSize(attempts)
        expectThat(results).hasSize(1)
    }

    /** Guards against a store that is only slow and gets each batch several times. */
    @Test
    fun `a slow store is given twice the time of its last answer`() {
        write("a")
        world.run(Duration.ofMillis(400))
        world.appends
            .first()
            .reply
            .complete(AppendOutcome.Appended(1))
        write("b")
        world.run(Duration.ofMillis(700))
        expectThat(sequences().count { it == 2L }).isLessThan(2)
    }

    @Test
    fun `a batch whose predecessors are stored and whose number is rejected shows a later owner`() {
        write("a")
        world.appends
            .single()
            .reply
            .complete(AppendOutcome.OutOfSequence(expected = 0))
        expectThat(results).containsExactly("a" to false)
    }

    /** One append that the store has not answered yet. */
    internal class OpenAppend(
        val condition: AppendCondition,
        val reply: CompletableFuture<AppendOutcome> = CompletableFuture(),
    )
}
