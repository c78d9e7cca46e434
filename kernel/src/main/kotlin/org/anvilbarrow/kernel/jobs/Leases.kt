package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Gives leases to what runs on upstreams and knows when they must have lapsed. */
internal class Leases(
    private val state: CellState,
) {
    private val limits get() = state.limits

    /** Longest time for which a lease can run on an upstream whose clock is slow. */
    private val longest: Duration =
        Duration.ofMillis((limits.lease.toMillis() * limits.clockSlowness).toLong()).plus(limits.lapseMargin)

    /** Returns the end of a new lease on the clock of [upstream], in milliseconds. */
    fun grant(upstream: Upstream): Long {
        upstream.leasesLapseBy = maxOf(upstream.leasesLapseBy, state.now.plus(longest))
        return upstream.clockAt(state.now) + limits.lease.toMillis()
    }

    /** True if the leases that this owner gave on [upstream] have lapsed. */
    fun haveLapsed(upstream: Upstream): Boolean = state.now.isAfter(upstream.leasesLapseBy)

    /** Returns when leases that an earlier owner may still renew must have lapsed. */
    fun earlierOwnersLapseBy() = state.claimedAt.plus(limits.unconfirmedRenewal).plus(longest)

    /** True if this owner may renew leases: a displaced owner must stop in the end. */
    fun mayRenew(): Boolean = Duration.between(state.confirmedAt, state.now) < limits.unconfirmedRenewal
}
