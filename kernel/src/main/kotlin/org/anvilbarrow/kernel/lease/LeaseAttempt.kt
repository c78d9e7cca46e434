package org.anvilbarrow.kernel.lease

import java.time.Instant

/** When this scheduler last asked for, or gave back, the lease of an upstream. */
internal data class LeaseAttempt(
    val lastSentAt: Instant = Instant.EPOCH,
    /** Replies to requests that were sent up to this moment are ignored: the lease was given back after them. */
    val releasedAt: Instant = Instant.EPOCH,
)
