package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/** Follows the list of upstreams, observes each of them regularly and detects when one is gone. */
internal class UpstreamWatch(
    private val state: CellState,
    private val leases: Leases,
    private val runs: RunController,
    private val relays: Relays,
    private val crashes: CrashTracker,
) {
    private val limits get() = state.limits

    private val unobserved = HashSet<UpstreamId>()

    fun load(loaded: LoadedShard) {
        loaded.usedUpstreams.forEach { record ->
            val upstream = Upstream(record.upstream, record.address)
            upstream.isRecorded = true
            upstream.region = record.region
            upstream.largestCapacity = record.largestCapacity
            upstream.leasesExpireBy = leases.earlierOwnersExpireBy(loaded.earlierOwnersEnded)
            state.upstreams[record.upstream] = upstream
            unobserved += record.upstream
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
            recordCapacity(upstream, entry)
        }
        state.upstreams.values.filter { it.isListed && it.id !in byId }.forEach {
            it.isListed = false
            state.decided("upstream-unlisted", it, "${it.runs.size} run(s)")
        }
        state.dispatchNeeded = true
    }

    /** Records in the store that the upstream is used. Runs start there only after that. */
    private fun discovered(entry: UpstreamEntry): Upstream {
        val upstream = Upstream(entry.id, entry.address)
        relays.discovered(upstream)
        recordCapacity(upstream, entry)
        state.journal.afterStored {
            upstream.isRecorded = true
            state.dispatchNeeded = true
        }
        return upstream
    }

    /** Stores a capacity that is larger than those before, by which a successor bounds the runs that it finds. */
    private fun recordCapacity(
        upstream: Upstream,
        entry: UpstreamEntry,
    ) {
        val recorded = upstream.largestCapacity
        if (recorded != null && entry.capacity.fitsIn(recorded)) return
        val largest = recorded?.maxWith(entry.capacity) ?: entry.capacity
        upstream.largestCapacity = largest
        state.journal.upstream(entry.id, UsedUpstreamRecord(entry.id, entry.address, entry.region, largest))
    }

    /** The observe request that was sent at [sentAt] ended with [result]. */
    fun observed(
        order: UpstreamOrder.Observe,
        sentAt: Instant,
        result: Observation,
    ) {
        val upstream = state.upstreams[order.upstream] ?: return
        upstream.observationPending = false
        when (result) {
            is Observation.Seen -> seen(upstream, order, sentAt, result)
            Observation.Displaced if order.token < state.tokenFor(upstream) ->
                failed(upstream, order, sentAt, "fenced by a later order of this owner")
            Observation.Displaced -> state.displacedAt(upstream.id)
            Observation.OtherUpstream if order.address != upstream.address ->
                failed(upstream, order, sentAt, "its earlier address ${order.address} belongs to another upstream")
            Observation.OtherUpstream -> gone(upstream, "its address belongs to another upstream")
            is Observation.Failed -> failed(upstream, order, sentAt, result.reason)
        }
    }

    private fun seen(
        upstream: Upstream,
        order: UpstreamOrder.Observe,
        sentAt: Instant,
        seen: Observation.Seen,
    ) {
        val failed = upstream.failedObservations
        if (failed > 0) state.decided("upstream-regained", upstream, "$failed observe request(s) failed")
        // A report without a start time tells nothing about a restart.
        if (seen.incarnation != Observation.Seen.UNKNOWN_INCARNATION) checkIncarnation(upstream, sentAt, seen)
        upstream.readClock(seen.clockMillis, sentAt, state.now)
        val isCurrent = order.token == state.tokenFor(upstream)
        if (upstream.mayReceiveEarlierOrders && isCurrent) leases.earlierOrdersFenced(upstream)
        upstream.answered(sentAt, state.now)
        val first = upstream.seenAt == null
        upstream.seenAt = sentAt
        runs.observed(upstream, sentAt, seen)
        if (first) state.dispatchNeeded = true
        // Omitted runs of an earlier owner may have ended, so their tasks must not start yet.
        if (!seen.omitsRuns && unobserved.remove(upstream.id)) tryCompleteTakeover()
        upstream.nextObservationAt =
            if (first || upstream.mayReceiveEarlierOrders) state.now else state.now.plus(limits.observeGap)
        acknowledgeAfterStored(upstream)
    }

    private fun checkIncarnation(
        upstream: Upstream,
        sentAt: Instant,
        seen: Observation.Seen,
    ) {
        val incarnation = seen.incarnation
        crashes.seen(upstream, sentAt, seen)
        if (upstream.incarnation == incarnation) return
        val isRestart = upstream.incarnation != null
        if (isRestart) logRestart(upstream, incarnation)
        upstream.startIncarnation(incarnation)
        if (!isRestart) return
        upstream.restarts++
        leases.restarted(upstream, isFencing = relays.fence(upstream))
        runs.restarted(upstream)
    }

    private fun logRestart(
        upstream: Upstream,
        incarnation: Long,
    ) {
        state.crashedUpstreams++
        state.decided(
            "upstream-restarted",
            upstream,
            "life $incarnation follows ${upstream.incarnation}, ${runsOn(upstream)}",
        )
    }

    /** Names the runs on [upstream], as any of them may be the reason for its end. */
    private fun runsOn(upstream: Upstream): String =
        upstream.runs.values.joinToString(prefix = "${upstream.runs.size} run(s) there: ", limit = MAX_NAMED_RUNS) {
            "${it.task} run ${it.number} ${it.status}"
        }

    /** Upstreams delete acknowledged ends, so an end is acknowledged only once it is stored. */
    private fun acknowledgeAfterStored(upstream: Upstream) {
        val end = upstream.lastReceivedEnd
        if (end <= upstream.lastStoredEnd) return
        val incarnation = upstream.incarnation
        state.journal.afterStored {
            if (upstream.incarnation == incarnation) upstream.lastStoredEnd = maxOf(upstream.lastStoredEnd, end)
        }
    }

    private fun failed(
        upstream: Upstream,
        order: UpstreamOrder.Observe,
        sentAt: Instant,
        reason: String,
    ) {
        // A late acknowledgement would make a later incarnation forget ends that nobody has received.
        if (order.acknowledgeUpTo > 0 && order.token == state.tokenFor(upstream)) relays.fence(upstream)
        upstream.unanswered(timedOut = Duration.between(sentAt, state.now) >= limits.shortestTimeout)
        if (upstream.failedObservations == 1) state.decided("upstream-unreachable", upstream, reason)
        upstream.nextObservationAt = state.now.plus(limits.observeRetry)
    }

    fun tick() {
        state.upstreams.values.toList().forEach { upstream ->
            when {
                upstream.failedObservations > 0 && isCertainlyIdle(upstream) -> unreachable(upstream)
                !upstream.observationPending && !state.now.isBefore(upstream.nextObservationAt) -> observe(upstream)
            }
        }
    }

    /**
     * True if no run of the shard can be left on [upstream].
     *
     * An unlisted upstream that this owner has observed, and where it has no runs, needs no wait for its leases.
     */
    private fun isCertainlyIdle(upstream: Upstream): Boolean =
        leases.haveExpired(upstream) || (!upstream.isListed && upstream.seenAt != null && upstream.runs.isEmpty())

    /** The leases there have expired, so no run of the shard is left but those that may have started late. */
    private fun unreachable(upstream: Upstream) {
        val over = upstream.runs.values.filter(leases::isCertainlyOver)
        if (!upstream.isListed && over.size == upstream.runs.size) {
            return gone(upstream, "it is not listed and its leases have expired")
        }
        crashes.silent(upstream, over)
        over.forEach { runs.lost(it, "the leases on $upstream have expired") }
        if (unobserved.remove(upstream.id)) tryCompleteTakeover()
        if (!upstream.observationPending && !state.now.isBefore(upstream.nextObservationAt)) observe(upstream)
    }

    private fun gone(
        upstream: Upstream,
        reason: String,
    ) {
        if (!upstream.isLeaving) state.crashedUpstreams++
        state.decided("upstream-gone", upstream, "$reason, ${runsOn(upstream)}")
        crashes.gone(upstream)
        upstream.runs.values
            .toList()
            .forEach { runs.lost(it, "$upstream is gone") }
        state.upstreams -= upstream.id
        relays.forget(upstream)
        state.journal.upstream(upstream.id, null)
        if (unobserved.remove(upstream.id)) tryCompleteTakeover()
        state.dispatchNeeded = true
    }

    private fun tryCompleteTakeover() {
        if (unobserved.isNotEmpty()) return
        state.decided(
            "takeover-complete",
            "token ${state.token}",
            "after ${Duration.between(state.claimedAt, state.now)}",
        )
        state.jobs.values.forEach { it.blockedByTakeover = false }
        state.dispatchNeeded = true
    }

    /** Returns the upstreams that may have runs of an earlier owner and have not been observed yet. */
    fun unobserved(): List<Upstream> = unobserved.mapNotNull(state.upstreams::get)

    /** True while jobs of an earlier owner have to wait. */
    val hasUnobserved: Boolean get() = unobserved.isNotEmpty()

    private fun observe(upstream: Upstream) {
        val unacknowledged = upstream.lastReceivedEnd > upstream.lastStoredEnd
        if (!relays.isReady(upstream)) return
        // Until the received ends can be acknowledged, an observe request would return them again.
        if (unacknowledged && !isRenewalDue(upstream)) return
        upstream.observationPending = true
        val renews =
            upstream.seenAt != null && upstream.failedObservations < limits.failuresBeforeNoRenewal && leases.mayRenew()
        val immediately =
            upstream.seenAt == null ||
                upstream.failedObservations > 0 ||
                upstream.mayReceiveEarlierOrders ||
                unacknowledged
        relays.send(
            upstream,
            UpstreamOrder.Observe(
                upstream = upstream.id,
                address = upstream.address,
                token = state.tokenFor(upstream),
                acknowledgeUpTo = acknowledgeable(upstream),
                leaseUntilMillis = if (renews) leases.grant(upstream) else null,
                waitMillis = if (immediately) 0 else limits.observeWait.toMillis(),
            ),
        )
    }

    /** Returns the last end to acknowledge; none while the upstream may have restarted unseen. */
    private fun acknowledgeable(upstream: Upstream): Long =
        if (upstream.answeredWithin(limits.acknowledgeWithin, state.now)) upstream.lastStoredEnd else 0

    private fun isRenewalDue(upstream: Upstream): Boolean =
        upstream.seenAt?.plus(limits.observeWait)?.isBefore(state.now) ?: true

    private companion object {
        /** Bounds the length of a log line. */
        const val MAX_NAMED_RUNS = 12
    }
}
