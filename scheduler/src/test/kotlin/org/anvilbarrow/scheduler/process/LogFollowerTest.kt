package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.platform.AppendCallResult
import org.anvilbarrow.adapters.platform.LogClient
import org.anvilbarrow.adapters.platform.ReadCallResult
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.RecordsPage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly

class LogFollowerTest {
    private data class Case(
        val name: String,
        /** Offset of the next record that the kernel needs whenever it is asked. */
        val needed: Long,
        val replies: List<ReadCallResult>,
        val reads: List<Long>,
        val events: List<String>,
    )

    /** Guards against records that are skipped or read again for ever. */
    @TestFactory
    fun `the log is read from where the kernel needs it`() =
        listOf(
            Case(
                "pages",
                3,
                listOf(page(0..1, 3), page(2..2, 3), page(3..3, 4)),
                listOf(0, 2, 3),
                listOf("2 of 3", "1 of 3", "1 of 4"),
            ),
            Case("empty log", 0, listOf(page(0..-1, 0), page(0..0, 1)), listOf(0, 0), listOf("0 of 0", "1 of 1")),
            Case(
                "page that the kernel failed to handle",
                1,
                listOf(page(0..1, 2), page(1..1, 2)),
                listOf(0, 1),
                listOf("2 of 2", "1 of 2"),
            ),
            Case(
                "outage",
                0,
                listOf(ReadCallResult.Unreachable("down"), page(0..0, 1)),
                listOf(0, 0),
                listOf("unreachable", "1 of 1"),
            ),
            Case(
                "compacted",
                7,
                listOf(ReadCallResult.Compacted(7), page(7..7, 8)),
                listOf(0, 7),
                listOf("from 7", "1 of 8"),
            ),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val log = ScriptedLog(case.replies)
                val events = mutableListOf<String>()
                val follower = LogFollower(log, { case.needed }) { events += describe(it) }
                repeat(case.replies.size) { follower.poll() }
                expectThat(log.reads).containsExactly(case.reads)
                expectThat(events).containsExactly(case.events)
            }
        }

    private fun page(
        offsets: IntRange,
        end: Long,
    ) = ReadCallResult.Page(RecordsPage(offsets.map { LogRecord(it.toLong(), "") }, 0, end))

    private fun describe(event: Event): String =
        when (event) {
            is Event.LogRead -> "${event.records.size} of ${event.endOffset}"
            is Event.LogCompacted -> "from ${event.firstRetainedOffset}"
            is Event.LogUnreachable -> "unreachable"
            else -> error("unexpected $event")
        }

    private class ScriptedLog(
        replies: List<ReadCallResult>,
    ) : LogClient {
        private val left = ArrayDeque(replies)
        val reads = mutableListOf<Long>()

        override fun append(payloads: List<String>): AppendCallResult = AppendCallResult.NotAppended("not scripted")

        override fun read(fromOffset: Long): ReadCallResult {
            reads += fromOffset
            return left.removeFirst()
        }
    }
}
