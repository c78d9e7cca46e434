package org.anvilbarrow.kernel.placement

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.lease.UpstreamHealth
import org.anvilbarrow.kernel.lease.UpstreamLease
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec

/** Returns the owned upstreams of [region] that may get new tasks of [workload] now. */
internal fun Turn.candidatesIn(
    region: String,
    workload: String,
): List<Candidate> =
    state.lease.leases.mapNotNull { (upstream, lease) ->
        val spec = state.catalog.upstreams[upstream]?.spec
        if (spec == null || regionOf(spec) != region || !takesWork(upstream, spec, lease)) {
            null
        } else {
            candidate(upstream, spec, lease, workload)
        }
    }

/** Sums the free capacity of the owned upstreams that may get new tasks now. */
internal fun Turn.freeCapacity(): Resources =
    state.lease.leases.entries.fold(Resources.NONE) { sum, (upstream, lease) ->
        val spec = state.catalog.upstreams[upstream]?.spec
        if (spec == null || !takesWork(upstream, spec, lease)) sum else sum + free(spec, lease)
    }

/** Returns true if [upstream] is leaving according to its operator, the platform, a peer or itself. */
internal fun Turn.isLeaving(
    upstream: UpstreamId,
    spec: UpstreamSpec,
    lease: UpstreamLease,
): Boolean =
    spec.draining ||
        lease.leaving ||
        upstream in state.membership.leavingVms ||
        upstream in state.membership.drainNotices ||
        upstream in leavingAccordingToPeers

private fun Turn.takesWork(
    upstream: UpstreamId,
    spec: UpstreamSpec,
    lease: UpstreamLease,
): Boolean {
    val health = state.lease.health[upstream] ?: UpstreamHealth()
    if (spec.shard in state.lease.closingSince) return false
    return lease.isValid(now) && !isLeaving(upstream, spec, lease) && now >= health.setAsideUntil
}

private fun Turn.regionOf(spec: UpstreamSpec): String? =
    state.catalog.shards[spec.shard]
        ?.spec
        ?.region

private fun candidate(
    upstream: UpstreamId,
    spec: UpstreamSpec,
    lease: UpstreamLease,
    workload: String,
) = Candidate(
    upstream = upstream,
    capacity = spec.capacity,
    free = free(spec, lease),
    rack = spec.rack,
    failureDomain = spec.failureDomain,
    running = lease.ledger.commitments.size,
    sameWorkload =
        lease.ledger.tasksByWorkload[workload] ?: 0,
)

private fun free(
    spec: UpstreamSpec,
    lease: UpstreamLease,
): Resources = spec.capacity - lease.ledger.committed
