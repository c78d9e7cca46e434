package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.upstream.StartRefusal
import java.util.EnumMap

/** Collects what [UpstreamAudit] reports. It keeps every start, about 300 bytes each. */
internal class AuditBook(
    private val capacity: Resources,
) {
    private val starts = ArrayList<StartRecord>()
    private val runs = HashMap<String, Int>()
    private val refusals = EnumMap<StartRefusal, Long>(StartRefusal::class.java)
    private var highest = Resources.NONE
    private var overfills = 0L
    private var orphansStopped = 0L

    fun started(
        record: StartRecord,
        committed: Resources,
    ) {
        starts += record
        runs.merge(record.requestId, 1, Int::plus)
        highest = highest.maxWith(committed)
        if (!committed.fitsIn(capacity)) overfills += 1
    }

    fun refused(reason: StartRefusal) {
        refusals.merge(reason, 1, Long::plus)
    }

    fun orphansStopped(count: Int) {
        orphansStopped += count
    }

    fun report(
        incarnation: Long,
        fromStart: Int,
    ): UpstreamAudit =
        UpstreamAudit(
            incarnation = incarnation,
            highestCommitted = highest,
            overfills = overfills,
            orphansStopped = orphansStopped,
            refusals = refusals.map { (reason, count) -> RefusalCount(reason, count) },
            duplicateRequests = runs.filterValues { it > 1 }.map { (id, count) -> RequestRuns(id, count) },
            startCount = starts.size.toLong(),
            starts = starts.drop(fromStart).take(UpstreamAudit.MAX_STARTS),
        )
}
