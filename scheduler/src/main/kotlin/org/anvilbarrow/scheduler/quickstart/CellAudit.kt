package org.anvilbarrow.scheduler.quickstart

import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.standins.upstream.UpstreamAudit
import java.time.Duration
import java.time.Instant

/** What the upstreams of a cell saw. */
internal class CellAudit(
    private val audits: Map<UpstreamId, UpstreamAudit>,
) {
    private val starts = audits.values.flatMap { it.starts }.groupBy { it.requestId }

    /** Returns every overfill, and every request that did not run as often as its workload says. */
    fun faults(
        gang: String,
        gangTasks: Int,
    ): List<String> {
        val overfilled =
            audits.filterValues { it.overfills > 0 }.map { (id, a) ->
                "$id was overfilled ${a.overfills} times"
            }
        val runs =
            starts.mapNotNull { (request, records) ->
                val expected = if (records.first().workload == gang) gangTasks else 1
                if (records.size == expected) null else "$request ran ${records.size} tasks instead of $expected"
            }
        return overfilled + runs
    }

    /** Returns the requests that were refused as not run although an upstream started them. */
    fun refusedButRan(seen: List<Seen>): List<String> =
        seen
            .filter { it.outcome == REFUSED && it.requestId in starts }
            .map { "${it.requestId} was refused as not run but ran" }

    /** Returns a fault if [upstream] started tasks after [limit]. */
    fun startsAfter(
        upstream: UpstreamId,
        limit: Instant,
    ): List<String> {
        val late = audits.getValue(upstream).starts.count { it.startedAtUpstreamMillis > limit.toEpochMilli() }
        return if (late == 0) emptyList() else listOf("$upstream started $late tasks after $limit although it drains")
    }

    /** Replaces the time until the whole answer by the time until the first start, if the request was started. */
    fun withWait(seen: Seen): Seen {
        val first = starts[seen.requestId]?.minOf { it.startedAtUpstreamMillis } ?: return seen
        return seen.copy(wait = Duration.between(seen.sentAt, Instant.ofEpochMilli(first)).coerceAtLeast(Duration.ZERO))
    }

    private companion object {
        const val REFUSED = "refused"
    }
}
