package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.NumberedOrder
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** Numbers of calls between processes, by which answers are matched. */
internal class CorrelationNumbersTest {
    /** Guards against answers to an earlier incarnation that match calls of the present one. */
    @Test
    fun `the numbers of many incarnations do not meet`() {
        val random = SplittableRandom(1)
        val numbers = List(1_000) { CorrelationNumbers(random) }.flatMap { start -> List(1_000) { start.next() } }
        expectThat(numbers.toSet()).hasSize(1_000_000)
    }

    /** Guards against a start that takes few values, so that incarnations soon have the same one. */
    @Test
    fun `the start depends on at least 40 bits of the random value`() {
        val starts = (0 until Long.SIZE_BITS).map { bit -> CorrelationNumbers { 1L shl bit }.next() }
        expectThat(starts.toSet().size).isGreaterThan(40)
    }

    /** Guards against numbers that overflow or are zero. */
    @ParameterizedTest
    @ValueSource(longs = [0, 1, -1, Long.MAX_VALUE, Long.MIN_VALUE])
    fun `numbers are positive and ascend`(random: Long) {
        val numbers = CorrelationNumbers { random }
        val first = numbers.next()
        expectThat(first).isGreaterThan(0)
        expectThat(List(3) { numbers.next() }).containsExactly(first + 1, first + 2, first + 3)
    }

    /** Guards against two callers whose requests get one number. */
    @Test
    fun `threads get different numbers`() {
        val numbers = CorrelationNumbers(SplittableRandom(1))
        val seen = ConcurrentHashMap.newKeySet<Long>()
        List(4) { thread { repeat(10_000) { seen += numbers.next() } } }.forEach { it.join() }
        expectThat(seen).hasSize(40_000)
    }

    /** Guards against a message above the frame size limit, for which the peer closes the connection. */
    @Test
    fun `a full message of orders with the largest numbers fits a frame and is read back`() {
        val numbers = CorrelationNumbers { -1 }
        val orders = CellMessage.Orders(List(14) { NumberedOrder(numbers.next(), start("x".repeat(4_000))) })
        val frame = RecordCodec.encode(CellMessage.serializer(), orders)
        expectThat(frame.size).isLessThanOrEqualTo(PeerCodec.MAX_FRAME_BYTES)
        expectThat(RecordCodec.decode(CellMessage.serializer(), frame)).isEqualTo(orders)
    }

    private fun start(payload: String) =
        UpstreamOrder.Start(
            UpstreamId("w1"),
            "w1:1",
            7,
            checkNotNull(TaskRef.parse("5c0e7a21d94b36f8.0.0.1")),
            1,
            payload,
            1_000,
            null,
            null,
        )
}
