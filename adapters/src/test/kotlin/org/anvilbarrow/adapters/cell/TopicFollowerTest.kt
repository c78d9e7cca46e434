package org.anvilbarrow.adapters.cell

import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Following a topic while a consumer fails. */
class TopicFollowerTest {
    private val tasks = ArrayDeque<() -> Unit>()
    private val log = ArrayList<String>()

    /** A store whose topic holds [log]. */
    private val store =
        object : CellStore {
            override fun append(
                topic: String,
                partition: Int,
                records: List<KeyedRecord>,
                condition: AppendCondition,
            ): CompletableFuture<AppendOutcome> = error("the follower appends nothing")

            override fun read(
                topic: String,
                partition: Int,
                from: Long,
                wait: Duration,
            ): CompletableFuture<ReadOutcome> {
                val records = log.drop(from.toInt()).map(::record)
                val end = log.size.toLong()
                return CompletableFuture.completedFuture(ReadOutcome.Page(records, end, end))
            }

            override fun newest(
                topic: String,
                partition: Int,
            ): CompletableFuture<NewestOutcome> =
                CompletableFuture.completedFuture(NewestOutcome.Complete(log.map(::record), log.size.toLong()))
        }

    private fun record(key: String) = KeyedRecord(key, byteArrayOf(1))

    /** Guards against a topic that is no longer followed after one record that its consumer cannot handle. */
    @Test
    fun `a consumer that fails gets all records again and all later ones`() {
        val seen = ArrayList<String>()
        var failures = 2
        var confirmed = 0
        val follower =
            TopicFollower(store, "t", 0, Duration.ZERO, Duration.ofMillis(1), { _, task -> tasks += task }, {}, {
                confirmed++
            }) { records, _ ->
                if (records.any { it.key == "odd" } && failures-- > 0) error("odd record")
                seen += records.map { it.key }
            }
        log += "a"
        follower.start()
        repeat(4) { tasks.removeFirst()() }
        expectThat(seen).containsExactly("a")
        log += "odd"
        while (failures > 1) tasks.removeFirst()()
        val confirmedBefore = confirmed
        while (failures > 0) tasks.removeFirst()()
        expectThat(confirmed).isEqualTo(confirmedBefore)
        log += "b"
        repeat(4) { tasks.removeFirst()() }
        expectThat(seen).containsExactly("a", "a", "odd", "b")
    }
}
