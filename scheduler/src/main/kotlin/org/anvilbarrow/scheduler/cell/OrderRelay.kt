package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.UpstreamCalls
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.NumberedReport
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.UpstreamReport

/** Carries out orders that the owner of a shard sent to this process, and reports the results in batches. */
internal class OrderRelay(
    private val upstreams: UpstreamCalls,
    private val post: (() -> Unit) -> Unit,
    /** Sends a message to a peer; the owner gives up orders whose reports could not be sent. */
    private val send: (to: String, reports: CellMessage.Reports) -> Boolean,
) {
    private val unsent = LinkedHashMap<String, ArrayList<NumberedReport>>()

    /** Carries out [orders] of the owner [from]. Called on any thread. */
    fun received(
        from: String,
        orders: CellMessage.Orders,
    ): Unit =
        orders.orders.forEach { numbered ->
            upstreams.send(numbered.order).thenAccept { report ->
                post { unsent.getOrPut(from, ::ArrayList) += NumberedReport(numbered.number, report) }
            }
        }

    /** Sends the collected reports. Called on the control thread. */
    fun flush() {
        if (unsent.isEmpty()) return
        unsent.forEach { (to, reports) ->
            splitIntoMessages(reports).forEach { send(to, CellMessage.Reports(it)) }
        }
        unsent.clear()
    }

    private fun splitIntoMessages(reports: List<NumberedReport>): List<List<NumberedReport>> {
        val messages = ArrayList<ArrayList<NumberedReport>>()
        var rows = MAX_ROWS
        for (report in reports) {
            val more = rowsOf(report.report)
            if (rows + more > MAX_ROWS) {
                messages += ArrayList<NumberedReport>()
                rows = 0
            }
            messages.last() += report
            rows += more
        }
        return messages
    }

    private fun rowsOf(report: UpstreamReport): Int {
        val seen = (report as? UpstreamReport.Observed)?.result as? Observation.Seen ?: return 1
        return 1 + seen.running.size + seen.ended.size
    }

    private companion object {
        /** Rows per message, unless a single report has more; 500 rows of 100 bytes fit into one frame. */
        const val MAX_ROWS = 200
    }
}
