package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.UpstreamCalls
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.NumberedOrder
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.jobs.unanswered
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

private val log = KotlinLogging.logger("anvilbarrow.orders")

/**
 * Sends the orders of an owner, itself or through another process, and completes each of them once.
 *
 * An order whose process is lost, or does not report in time, counts as unanswered. Confined to the control thread.
 */
internal class OrderDispatch(
    private val self: String,
    private val upstreams: UpstreamCalls,
    private val clock: InstantSource,
    private val post: (() -> Unit) -> Unit,
    /** Hands a message to the mesh; returns false if the process is not connected. */
    private val send: (to: String, orders: CellMessage.Orders) -> Boolean,
) {
    private class OpenOrder(
        val via: String,
        val order: UpstreamOrder,
        val giveUpAt: Instant,
        val done: (UpstreamReport) -> Unit,
    )

    private val open = LinkedHashMap<Long, OpenOrder>()
    private val unsent = LinkedHashMap<String, ArrayList<NumberedOrder>>()
    private var lastNumber = 0L

    /** Sends [order] through the process [via]; [done] is called once on the control thread. */
    fun send(
        via: String,
        order: UpstreamOrder,
        done: (UpstreamReport) -> Unit,
    ) {
        if (via == self) {
            upstreams.send(order).thenAccept { report -> post { done(report) } }
            return
        }
        lastNumber++
        open[lastNumber] = OpenOrder(via, order, clock.instant().plus(timeOf(order)), done)
        unsent.getOrPut(via, ::ArrayList) += NumberedOrder(lastNumber, order)
    }

    /** A process that is connected reports when its own timeout ends the call. */
    private fun timeOf(order: UpstreamOrder): Duration =
        if (order is UpstreamOrder.Observe) REPORT_TIMEOUT.plus(order.wait) else REPORT_TIMEOUT

    /** Hands the orders that were collected to the mesh. */
    fun flush() {
        if (unsent.isEmpty()) return
        val batches = unsent.toMap()
        unsent.clear()
        batches.forEach { (via, orders) -> orders.chunked(MAX_ORDERS).forEach { hand(via, it) } }
    }

    private fun hand(
        via: String,
        orders: List<NumberedOrder>,
    ) {
        if (send(via, CellMessage.Orders(orders))) return
        orders.forEach { giveUp(it.number, "$via is not connected") }
    }

    /** Takes the reports of the process [from]. */
    fun reported(
        from: String,
        reports: CellMessage.Reports,
    ) {
        reports.reports.forEach { numbered ->
            val order = open[numbered.number]?.takeIf { it.via == from } ?: return@forEach
            open -= numbered.number
            order.done(numbered.report)
        }
    }

    /** The process [via] is not connected any more; what it was sent may have been carried out. */
    fun lost(via: String) {
        val lost = open.filterValues { it.via == via }.keys
        if (lost.isNotEmpty()) log.info { "event=relay-lost peer=$via orders=${lost.size}" }
        lost.forEach { giveUp(it, "$via was lost") }
    }

    /** Gives up orders whose process does not report. */
    fun tick() {
        val now = clock.instant()
        open.filterValues { now.isAfter(it.giveUpAt) }.forEach { (number, order) ->
            giveUp(number, "${order.via} has not reported for ${timeOf(order.order)}")
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
        /** The call of the other process may take 0.9 s and 60 ms of way; a lost process is noticed after 1.5 s. */
        val REPORT_TIMEOUT: Duration = Duration.ofMillis(2_500)

        /** Orders in one message: with 4,000 bytes of payload each they stay under the longest frame. */
        const val MAX_ORDERS = 14
    }
}
