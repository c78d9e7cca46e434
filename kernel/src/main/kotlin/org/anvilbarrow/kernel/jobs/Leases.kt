package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/** Grants leases to runs on upstreams and tells when they have certainly expired. */
internal class Leases(
    private val state: CellState,
) {
    private val limits get() = state.limits

    /** Maximum duration of a lease on an upstream with a slow clock. */
    private val maxDuration: Duration = withMargins(limits.lease)

    /** The same for a lease whose end was computed from the clock of an earlier incarnation, which may be longer. */
    private val maxDurationAfterRestart: Duration = withMargins(maxOf(limits.lease, limits.maxLease))

    private fun withMargins(lease: Duration): Duration =
        Duration.ofMillis((lease.toMillis() * limits.clockDriftFactor).toLong()).plus(limits.leaseExpiryMargin)

    /** Grants a new lease and returns its end on the clock of [upstream], in milliseconds. */
    fun grant(upstream: Upstream): Long {
        upstream.leasesExpireBy = maxOf(upstream.leasesExpireBy, state.now.plus(maxDuration))
        upstream.leaseGrantedAt = state.now
        return upstream.clockAt(state.now) + limits.lease.toMillis()
    }

    /** True if the leases that this owner granted on [upstream] have expired. */
    fun haveExpired(upstream: Upstream): Boolean = state.now.isAfter(upstream.leasesExpireBy)

    /**
     * The last lease granted before the restart of [upstream] was seen may apply to all runs there, and arrive late.
     *
     * [isFencing] tells that the next order fences those sent before, so that less time has to pass.
     */
    fun restarted(
        upstream: Upstream,
        isFencing: Boolean,
    ) {
        val longest = upstream.leaseGrantedAt.plus(limits.maxOrderDelay).plus(maxDurationAfterRestart)
        upstream.leasesExpireBy = maxOf(upstream.leasesExpireBy, longest)
        upstream.mayReceiveEarlierOrders = isFencing
    }

    /** [upstream] has received an order that fences those sent before its restart was seen. */
    fun earlierOrdersFenced(upstream: Upstream) {
        upstream.leasesExpireBy = state.now.plus(maxDurationAfterRestart)
        upstream.mayReceiveEarlierOrders = false
    }

    /**
     * True if [run], whose upstream is silent and whose other leases there have expired, is certainly over.
     *
     * A run that was not observed may be on a new incarnation, whose clock is behind the one that the end of the lease
     * was computed from. The upstream then limits the lease to the longest one that it accepts.
     */
    fun isCertainlyOver(run: Run): Boolean {
        val lastGrant = maxOf(run.lastStartSentAt, run.upstream.leaseGrantedAt)
        return run.isObserved || state.now.isAfter(lastGrant.plus(maxDurationAfterRestart))
    }

    /** Returns when leases of earlier owners have certainly expired. They may renew them until they have [ended]. */
    fun earlierOwnersExpireBy(ended: Boolean): Instant {
        val renewedFor = if (ended) Duration.ZERO else limits.unconfirmedRenewal
        return state.claimedAt.plus(renewedFor).plus(maxDuration)
    }

    /** True if this owner may renew leases. It has to stop without a recent confirmation, as it may be displaced. */
    fun mayRenew(): Boolean = Duration.between(state.confirmedAt, state.now) < limits.unconfirmedRenewal
}
