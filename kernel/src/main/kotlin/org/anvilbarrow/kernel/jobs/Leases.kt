package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/** Grants leases to runs on upstreams and tells when they have certainly expired. */
internal class Leases(
    private val state: CellState,
) {
    private val limits get() = state.limits

    /** Maximum duration of a lease on an upstream with a slow clock. */
    private val maxDuration: Duration =
        Duration.ofMillis((limits.lease.toMillis() * limits.clockDriftFactor).toLong()).plus(limits.leaseExpiryMargin)

    /** Grants a new lease and returns its end on the clock of [upstream], in milliseconds. */
    fun grant(upstream: Upstream): Long {
        upstream.leasesExpireBy = maxOf(upstream.leasesExpireBy, state.now.plus(maxDuration))
        return upstream.clockAt(state.now) + limits.lease.toMillis()
    }

    /** True if the leases that this owner granted on [upstream] have expired. */
    fun haveExpired(upstream: Upstream): Boolean = state.now.isAfter(upstream.leasesExpireBy)

    /** Returns when leases of earlier owners have certainly expired. They may renew them until they have [ended]. */
    fun earlierOwnersExpireBy(ended: Boolean): Instant {
        val renewedFor = if (ended) Duration.ZERO else limits.unconfirmedRenewal
        return state.claimedAt.plus(renewedFor).plus(maxDuration)
    }

    /** True if this owner may renew leases. It has to stop without a recent confirmation, as it may be displaced. */
    fun mayRenew(): Boolean = Duration.between(state.confirmedAt, state.now) < limits.unconfirmedRenewal
}
