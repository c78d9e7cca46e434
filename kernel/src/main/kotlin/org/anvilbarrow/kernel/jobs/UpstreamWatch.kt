package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/** Follows the list of upstreams, looks at each of them in turn and finds out when one is gone. */
internal class UpstreamWatch(
    private val state: CellState,
    private val leases: Leases,
    private val runs: RunController,
    private val relays: Relays,
) {
    private val limits get() = state.limits

    /** Upstreams on which an earlier owner may have started runs that were not seen yet. */
    private val unseen = HashSet<UpstreamId>()

    fun load(loaded: LoadedShard) {
        loaded.usedUpstreams.forEach { record ->
            val upstream = Upstream(record.upstream, record.address)
            upstream.isRecorded = true
            upstream.region = record.region
            upstream.leasesLapseBy = leases.earlierOwnersLapseBy(loaded.earlierOwnersEnded)
            state.upstreams[record.upstream] = upstream
            unseen += record.upstream
        }
    }

    fun listed(entries: List<UpstreamEntry>) {
        val byId = entries.associateBy { it.id }
        entries.forEach { entry ->
            val upstream = state.upstreams.getOrPut(entry.id) { discovered(entry) }
            if (!upstream.isListed) state.decided("upstream-listed", upstream, "at ${entry.address}")
            if (upstream.entry?.draining != true && entry.draining) state.decided("upstream-draining", upstream, "")
            if (upstream.entry?.leavesIn != entry.leavesIn) upstream.leavesAt = entry.leavesIn?.let(state.now::plus)
            upstream.entry = entry
            upstream.region = entry.region
            upstream.address = entry.address
            upstream.isListed = true
        }
        state.upstreams.values.filter { it.isListed && it.id !in byId }.forEach {
            it.isListed = false
            state.decided("upstream-unlisted", it, "${it.runs.size} run(s)")
        }
        state.dispatchNeeded = true
    }

    /** Runs start on an upstream only after the store holds that it is used. */
    private fun discovered(entry: UpstreamEntry): Upstream {
        val upstream = Upstream(entry.id, entry.address)
        state.journal.upstream(entry.id, UsedUpstreamRecord(entry.id, entry.address, entry.region))
        state.journal.afterStored {
            upstream.isRecorded = true
            state.dispatchNeeded = true
        }
        return upstream
    }

    /** A look that was sent at [sentAt] ended with [result]. */
    fun observed(
        order: UpstreamOrder.Observe,
        sentAt: Instant,
        result: Observation,
    ) {
        val upstream = state.upstreams[order.upstream] ?: return
        upstream.lookOpen = false
        when (result) {
            is Observation.Seen -> seen(upstream, sentAt, result)
            Observation.Displaced if order.token < state.tokenFor(upstream) -> failed(upstream, "its caller changed")
            Observation.Displaced -> state.displacedAt(upstream.id)
            Observation.OtherUpstream -> gone(upstream, "its address belongs to another upstream")
            is Observation.Failed -> failed(upstream, result.reason)
        }
    }

    private fun seen(
        upstream: Upstream,
        sentAt: Instant,
        result: Observation.Seen,
    ) {
        val failed = upstream.failedObservations
        if (failed > 0) state.decided("upstream-regained", upstream, "$failed look(s) failed")
        upstream.failedObservations = 0
        upstream.readClock(result.clockMillis, state.now)
        if (upstream.life != result.incarnation) {
            if (upstream.life != null) state.decided("upstream-restarted", upstream, "life ${result.incarnation}")
            upstream.startLife(result.incarnation)
        }
        val first = upstream.seenAt == null
        upstream.seenAt = sentAt
        runs.observed(upstream, sentAt, result)
        if (first) state.dispatchNeeded = true
        if (unseen.remove(upstream.id)) openBarrier()
        upstream.nextObservationAt = if (first) state.now else state.now.plus(limits.observeGap)
        acknowledgeAfterStored(upstream)
    }

    /** An end may be forgotten by its upstream only once it is stored. */
    private fun acknowledgeAfterStored(upstream: Upstream) {
        val end = upstream.lastReceivedEnd
        if (end <= upstream.storedEnd) return
        val life = upstream.life
        state.journal.afterStored { if (upstream.life == life) upstream.storedEnd = maxOf(upstream.storedEnd, end) }
    }

    private fun failed(
        upstream: Upstream,
        reason: String,
    ) {
        upstream.failedObservations++
        if (upstream.failedObservations == 1) state.decided("upstream-unreachable", upstream, reason)
        upstream.nextObservationAt = state.now.plus(limits.observeRetry)
    }

    fun tick() {
        state.upstreams.values.toList().forEach { upstream ->
            when {
                upstream.failedObservations > 0 && isGoneForSure(upstream) -> unreachable(upstream)
                !upstream.lookOpen && !state.now.isBefore(upstream.nextObservationAt) -> look(upstream)
            }
        }
    }

    /** An upstream that this owner has looked at, where nothing ran since, needs no wait once it is unlisted. */
    private fun isGoneForSure(upstream: Upstream): Boolean =
        leases.haveLapsed(upstream) || (!upstream.isListed && upstream.seenAt != null && upstream.runs.isEmpty())

    /** No lease of this owner runs there any more, so nothing of the shard does. */
    private fun unreachable(upstream: Upstream) {
        if (!upstream.isListed) return gone(upstream, "it is not listed and its leases have lapsed")
        loseRuns(upstream, "the leases on $upstream have lapsed")
        if (unseen.remove(upstream.id)) openBarrier()
        if (!upstream.lookOpen && !state.now.isBefore(upstream.nextObservationAt)) look(upstream)
    }

    private fun gone(
        upstream: Upstream,
        reason: String,
    ) {
        state.decided("upstream-gone", upstream, reason)
        loseRuns(upstream, "$upstream is gone")
        state.upstreams -= upstream.id
        relays.forget(upstream)
        state.journal.upstream(upstream.id, null)
        if (unseen.remove(upstream.id)) openBarrier()
        state.dispatchNeeded = true
    }

    private fun loseRuns(
        upstream: Upstream,
        reason: String,
    ) {
        upstream.runs.values
            .toList()
            .forEach { runs.lost(it, reason) }
    }

    private fun openBarrier() {
        if (unseen.isNotEmpty()) return
        state.decided(
            "takeover-complete",
            "token ${state.token}",
            "after ${Duration.between(state.claimedAt, state.now)}",
        )
        state.jobs.values.forEach { it.blockedByTakeover = false }
        state.dispatchNeeded = true
    }

    /** True if jobs of an earlier owner have to wait. */
    val hasUnseen: Boolean get() = unseen.isNotEmpty()

    private fun look(upstream: Upstream) {
        val unacknowledged = upstream.lastReceivedEnd > upstream.storedEnd
        if (!relays.isReady(upstream)) return
        // A look would return the same ends again until they are acknowledged.
        if (unacknowledged && !isRenewalDue(upstream)) return
        upstream.lookOpen = true
        val renews =
            upstream.seenAt != null && upstream.failedObservations < limits.failuresBeforeNoRenewal && leases.mayRenew()
        val atOnce = upstream.seenAt == null || upstream.failedObservations > 0 || unacknowledged
        relays.send(
            upstream,
            UpstreamOrder.Observe(
                upstream = upstream.id,
                address = upstream.address,
                token = state.tokenFor(upstream),
                acknowledgeUpTo = upstream.storedEnd,
                leaseUntilMillis = if (renews) leases.grant(upstream) else null,
                waitMillis = if (atOnce) 0 else limits.observeWait.toMillis(),
            ),
        )
    }

    private fun isRenewalDue(upstream: Upstream): Boolean =
        upstream.seenAt?.plus(limits.observeWait)?.isBefore(state.now) ?: true
}
