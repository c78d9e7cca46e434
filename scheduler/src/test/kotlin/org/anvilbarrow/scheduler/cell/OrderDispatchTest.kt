package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.NumberedOrder
import org.anvilbarrow.protocol.jobs.NumberedReport
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.StartResult
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture

/** Each order of an owner is completed exactly once, even if the peer that carries it out fails. */
internal class OrderDispatchTest {
    private var now = Instant.EPOCH
    private var connected = true
    private val sent = ArrayList<Pair<String, CellMessage.Orders>>()
    private val reports = ArrayList<UpstreamReport>()
    private val random = SplittableRandom(1)
    private val dispatch = incarnation()

    private fun incarnation(direct: UpstreamReport = STARTED) =
        OrderDispatch(
            "self",
            { CompletableFuture.completedFuture(direct) },
            { now },
            CorrelationNumbers(random),
            { it() },
        ) { to, orders ->
            sent += to to orders
            connected
        }

    private fun start(index: Int) =
        UpstreamOrder.Start(
            UpstreamId("w1"),
            "w1:1",
            7,
            checkNotNull(TaskRef.parse("5c0e7a21d94b36f8.0.0.$index")),
            1,
            "payload",
            1_000,
            null,
            null,
        )

    private fun sendVia(
        via: String,
        order: UpstreamOrder = start(0),
    ) {
        dispatch.send(via, order) { reports += it }
        dispatch.flush()
    }

    @Test
    fun `direct orders are called at once and orders for a peer are sent in one message`() {
        sendVia("self")
        expectThat(reports).containsExactly(STARTED)
        repeat(3) { index -> dispatch.send("peer", start(index)) { reports += it } }
        expectThat(sent).isEmpty()
        dispatch.flush()
        expectThat(sent.single().second.orders).hasSize(3)
    }

    /** Guards against a message above the frame size limit, for which the peer closes the connection. */
    @Test
    fun `orders with long payloads are split into several messages`() {
        repeat(40) { index -> dispatch.send("peer", start(index)) { reports += it } }
        dispatch.flush()
        expectThat(sent.sumOf { it.second.orders.size }).isEqualTo(40)
        expectThat(sent.all { it.second.orders.size <= 14 }).isTrue()
    }

    /** Guards against an order that is never completed, whose run would be neither started again nor given up. */
    @Test
    fun `an order whose peer is lost or silent counts as unanswered`() {
        connected = false
        sendVia("peer")
        connected = true
        sendVia("peer")
        dispatch.lost("peer")
        sendVia("silent")
        now = now.plus(Duration.ofSeconds(10))
        dispatch.tick()
        expectThat(reports).hasSize(3)
        reports.forEach { report ->
            expectThat(report).isA<UpstreamReport.Started>().get { result }.isA<StartResult.Unanswered>()
        }
    }

    /** Guards against a late report, or a report from another peer, that completes an order a second time. */
    @Test
    fun `a report counts once and only from the peer that got the order`() {
        sendVia("peer")
        val number =
            sent
                .single()
                .second.orders
                .single()
                .number
        val message = CellMessage.Reports(listOf(NumberedReport(number, STARTED)))
        dispatch.reported("other", message)
        expectThat(reports).isEmpty()
        dispatch.reported("peer", message)
        dispatch.reported("peer", message)
        dispatch.lost("peer")
        expectThat(reports).containsExactly(STARTED)
    }

    /** Guards against a report on one upstream that is taken for the report on another after a restart of the owner. */
    @ParameterizedTest
    @CsvSource("1, 1", "1, 40", "40, 1", "40, 40")
    fun `reports on the orders of an earlier incarnation complete no order of the present one`(
        earlierOrders: Int,
        presentOrders: Int,
    ) {
        val earlier = send(dispatch, earlierOrders) { }
        val restarted = incarnation()
        val present = send(restarted, presentOrders) { reports += it }
        restarted.reported("peer", CellMessage.Reports(earlier.map { NumberedReport(it, LATE) }))
        expectThat(reports).isEmpty()
        restarted.reported("peer", CellMessage.Reports(present.map { NumberedReport(it, STARTED) }))
        expectThat(reports).hasSize(presentOrders).all { isEqualTo(STARTED) }
    }

    /** Guards against a report of another kind, on which the owner would give up the shard. */
    @ParameterizedTest
    @ValueSource(strings = ["peer", "self"])
    fun `a report of another kind than its order counts as no answer`(via: String) {
        val mismatched = incarnation(direct = LATE)
        mismatched.send(via, start(0)) { reports += it }
        mismatched.flush()
        val numbers = sent.flatMap { it.second.orders }.map { it.number }
        mismatched.reported("peer", CellMessage.Reports(numbers.map { NumberedReport(it, LATE) }))
        expectThat(reports.single()).isA<UpstreamReport.Started>().get { result }.isA<StartResult.Unanswered>()
    }

    /** Sends [count] orders from [from] to a peer and returns their numbers. */
    private fun send(
        from: OrderDispatch,
        count: Int,
        done: (UpstreamReport) -> Unit,
    ): List<Long> {
        sent.clear()
        repeat(count) { index -> from.send("peer", start(index), done) }
        from.flush()
        return sent.flatMap { it.second.orders }.map { it.number }
    }

    @Test
    fun `the reports on relayed orders are split into messages that fit a frame`() {
        val messages = ArrayList<CellMessage.Reports>()
        val seen = UpstreamReport.Observed(Observation.Seen(1, 1, emptyList(), emptyList()))
        val relay =
            OrderRelay({ CompletableFuture.completedFuture(seen) }, { it() }) { _, reports -> messages.add(reports) }
        val orders = (1L..500L).map { NumberedOrder(it, start(0)) }
        relay.received("owner", CellMessage.Orders(orders))
        relay.flush()
        expectThat(messages.flatMap { it.reports }.map { it.number }.toSet()).hasSize(500)
        expectThat(messages.any { it.reports.size > 200 }).isFalse()
    }

    private companion object {
        val STARTED = UpstreamReport.Started(StartResult.Started)
        val LATE = UpstreamReport.Observed(Observation.Seen(1, 1, emptyList(), emptyList()))
    }
}
