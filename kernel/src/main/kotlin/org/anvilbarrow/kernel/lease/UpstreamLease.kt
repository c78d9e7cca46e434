package org.anvilbarrow.kernel.lease

import org.anvilbarrow.kernel.ledger.Ledger
import org.anvilbarrow.protocol.upstream.LeaseReply
import java.time.Duration
import java.time.Instant

/** A lease that this scheduler holds, or held until [validUntil]. */
internal data class UpstreamLease(
    val epoch: Long,
    val upstreamIncarnation: Long,
    /** End of the lease on this scheduler's clock, counted from when its request was sent. */
    val validUntil: Instant,
    /** When the newest request that was answered was sent, on this scheduler's clock. */
    val requestedAt: Instant,
    /** The upstream's clock in its newest reply. */
    val upstreamMillis: Long,
    /** When that reply arrived, on this scheduler's clock. */
    val repliedAt: Instant,
    val ledger: Ledger,
    val leaving: Boolean,
) {
    fun isValid(now: Instant): Boolean = now < validUntil

    /** Returns true if [reply] belongs to this lease and not to an earlier or later one. */
    fun isSameLease(reply: LeaseReply.Granted): Boolean =
        epoch == reply.epoch && upstreamIncarnation == reply.upstreamIncarnation

    /** Last moment, in the upstream's clock, at which a task granted at [now] may start. */
    fun startBy(
        now: Instant,
        grantTtl: Duration,
    ): Long {
        val usable = minOf(grantTtl, Duration.between(now, validUntil))
        return upstreamMillis + Duration.between(repliedAt, now).toMillis() + usable.toMillis()
    }
}
