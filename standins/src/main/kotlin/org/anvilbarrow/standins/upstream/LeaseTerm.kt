package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseRequest
import java.time.Duration
import java.time.Instant

/**
 * The one lease of an upstream during one incarnation (assumption A1 of the design page).
 *
 * Not thread-safe; the owner passes the time in.
 */
internal class LeaseTerm(
    private val maxTtl: Duration,
    startedAt: Instant,
) {
    private val quietUntil = startedAt + maxTtl
    private var holder: Holder? = null
    private var heldUntil = startedAt

    /** Epoch of the last grant; 0 before the first. */
    var epoch: Long = 0
        private set

    /** Grants or renews the lease and returns true, or returns false and leaves the lease as it is. */
    fun request(
        request: LeaseRequest,
        now: Instant,
    ): Boolean {
        val asking = Holder(request.scheduler, request.schedulerIncarnation)
        val allowed =
            if (request.epoch ==
                NEW_LEASE
            ) {
                !isHeld(now) && now >= quietUntil
            } else {
                isRenewal(request, asking, now)
            }
        val ttl = Duration.ofMillis(request.ttlMillis)
        if (!allowed || ttl > maxTtl || ttl <= Duration.ZERO) return false
        if (request.epoch == NEW_LEASE) {
            epoch += 1
            holder = asking
        }
        heldUntil = now + ttl
        return true
    }

    /** Ends the lease if [release] names it. */
    fun release(
        release: LeaseRelease,
        now: Instant,
    ) {
        if (isHeld(now) && holder?.scheduler == release.scheduler && epoch == release.epoch) {
            heldUntil = now
            holder = null
        }
    }

    fun isHeld(now: Instant): Boolean = holder != null && now < heldUntil

    /** The scheduler that holds the lease, or null. */
    fun heldBy(now: Instant): SchedulerId? = if (isHeld(now)) holder?.scheduler else null

    /** How long a request for a new lease will be denied, as far as is known now. */
    fun unavailableFor(now: Instant): Duration =
        maxOf(
            Duration.ZERO,
            Duration.between(now, quietUntil),
            if (isHeld(now)) Duration.between(now, heldUntil) else Duration.ZERO,
        )

    /** How long no scheduler has held the lease. */
    fun unheldFor(now: Instant): Duration = if (isHeld(now)) Duration.ZERO else Duration.between(heldUntil, now)

    /** A lapsed lease is not renewed: its holder asks for a new one, which gets a new epoch. */
    private fun isRenewal(
        request: LeaseRequest,
        asking: Holder,
        now: Instant,
    ): Boolean = isHeld(now) && holder == asking && epoch == request.epoch

    private data class Holder(
        val scheduler: SchedulerId,
        val incarnation: Long,
    )

    private companion object {
        const val NEW_LEASE = 0L
    }
}
