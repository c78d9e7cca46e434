package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.UpstreamCalls
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.NumberedOrder
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.jobs.isAnsweredBy
import org.anvilbarrow.protocol.jobs.unanswered
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

private val log = KotlinLogging.logger("anvilbarrow.orders")

/**
 * Sends the orders of an owner to upstreams, directly or through a peer, and completes each order exactly once.
 *
 * An order counts as unanswered if its peer disconnects or does not report in time. Confined to the control thread.
 */
internal class OrderDispatch(
    private val self: String,
    private val upstreams: UpstreamCalls,
    private val clock: InstantSource,
    private val numbers: CorrelationNumbers,
    private val post: (() -> Unit) -> Unit,
    /** Sends a message to a peer; returns false if the peer is not connected. */
    private val send: (to: String, orders: CellMessage.Orders) -> Boolean,
) {
    private class OpenOrder(
        val via: String,
        val order: UpstreamOrder,
        val deadline: Instant,
        val done: (UpstreamReport) -> Unit,
    )

    private val open = LinkedHashMap<Long, OpenOrder>()
    private val unsent = LinkedHashMap<String, ArrayList<NumberedOrder>>()

    /** Sends [order] through the process [via]; calls [done] once, on the control thread. */
    fun send(
        via: String,
        order: UpstreamOrder,
        done: (UpstreamReport) -> Unit,
    ) {
        if (via == self) {
            upstreams.send(order).thenAccept { report -> post { done(checked(order, report, self)) } }
            return
        }
        val number = numbers.next()
        open[number] = OpenOrder(via, order, clock.instant().plus(timeoutOf(order)), done)
        unsent.getOrPut(via, ::ArrayList) += NumberedOrder(number, order)
    }

    /** A connected peer reports at the latest when its own call times out. */
    private fun timeoutOf(order: UpstreamOrder): Duration =
        if (order is UpstreamOrder.Observe) REPORT_TIMEOUT.plus(order.wait) else REPORT_TIMEOUT

    /** Sends the collected orders in as few messages per peer as possible. */
    fun flush() {
        if (unsent.isEmpty()) return
        val batches = unsent.toMap()
        unsent.clear()
        batches.forEach { (via, orders) -> orders.chunked(MAX_ORDERS).forEach { sendBatch(via, it) } }
    }

    private fun sendBatch(
        via: String,
        orders: List<NumberedOrder>,
    ) {
        if (send(via, CellMessage.Orders(orders))) return
        orders.forEach { giveUp(it.number, "$via is not connected") }
    }

    /** Completes the orders that the peer [from] reports on. */
    fun reported(
        from: String,
        reports: CellMessage.Reports,
    ) {
        reports.reports.forEach { numbered ->
            val order = open[numbered.number]?.takeIf { it.via == from } ?: return@forEach
            open -= numbered.number
            order.done(checked(order.order, numbered.report, from))
        }
    }

    /** Returns [report], or that [order] is unanswered if the report is of another kind. */
    private fun checked(
        order: UpstreamOrder,
        report: UpstreamReport,
        from: String,
    ): UpstreamReport {
        if (order.isAnsweredBy(report)) return report
        log.error {
            "event=report-mismatched peer=$from upstream=${order.upstream} " +
                "order=${order::class.simpleName} report=${report::class.simpleName}"
        }
        return order.unanswered("$from reported on another kind of order")
    }

    /** Gives up the orders sent to [via], whose connection broke; they may have been carried out. */
    fun lost(via: String) {
        val lost = open.filterValues { it.via == via }.keys
        if (lost.isNotEmpty()) log.info { "event=relay-lost peer=$via orders=${lost.size}" }
        lost.forEach { giveUp(it, "the connection to $via was lost") }
    }

    /** Gives up orders whose report is overdue. */
    fun tick() {
        val now = clock.instant()
        open.filterValues { now.isAfter(it.deadline) }.forEach { (number, order) ->
            giveUp(number, "no report from ${order.via} within ${timeoutOf(order.order)}")
        }
    }

    private fun giveUp(
        number: Long,
        reason: String,
    ) {
        val order = open.remove(number) ?: return
        order.done(order.order.unanswered(reason))
    }

    private companion object {
        /** A peer's call takes up to 0.9 s plus 60 ms of network time; a lost peer is detected after 1.5 s. */
        val REPORT_TIMEOUT: Duration = Duration.ofMillis(2_500)

        /** Orders per message: with payloads of 4,000 bytes each, the message stays below the frame size limit. */
        const val MAX_ORDERS = 14
    }
}
