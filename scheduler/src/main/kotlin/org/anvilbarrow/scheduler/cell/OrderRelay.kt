package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.UpstreamCalls
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.NumberedReport
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.UpstreamReport

/** Carries out orders that an owner gave to this process, and reports their answers together. */
internal class OrderRelay(
    private val upstreams: UpstreamCalls,
    private val post: (() -> Unit) -> Unit,
    /** Hands a message to the mesh; a report that cannot be sent is given up by the owner. */
    private val send: (to: String, reports: CellMessage.Reports) -> Boolean,
) {
    private val ready = LinkedHashMap<String, ArrayList<NumberedReport>>()

    /** Carries out [orders] of the owner [from]; called on any thread. */
    fun received(
        from: String,
        orders: CellMessage.Orders,
    ): Unit =
        orders.orders.forEach { numbered ->
            upstreams.send(numbered.order).thenAccept { report ->
                post { ready.getOrPut(from, ::ArrayList) += NumberedReport(numbered.number, report) }
            }
        }

    /** Sends the reports that were collected; called on the control thread. */
    fun flush() {
        if (ready.isEmpty()) return
        ready.forEach { (to, reports) ->
            inMessages(reports).forEach { send(to, CellMessage.Reports(it)) }
        }
        ready.clear()
    }

    private fun inMessages(reports: List<NumberedReport>): List<List<NumberedReport>> {
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
        /** Rows in one message unless one list is longer; 500 rows of 100 bytes fit into the longest frame. */
        const val MAX_ROWS = 200
    }
}
