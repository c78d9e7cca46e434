package org.anvilbarrow.kernel.home

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.protocol.model.RequestId
import java.time.Duration
import java.time.Instant

/** What this scheduler knows as the home of one shard's request ids. */
internal data class HomeOffice(
    /** End of the office: a majority of the anchors' leases is held until then. */
    val validUntil: Instant,
    /** Every id issued at or after this moment that any home of this shard let run is in [issuedAt]. */
    val completeSince: Instant,
    /** Issue times of the ids that were accepted here or handed over by an earlier home. */
    val issuedAt: PersistentMap<RequestId, Instant> = persistentMapOf(),
) {
    fun isValid(now: Instant): Boolean = now < validUntil

    /** Returns true if a grant that is used within [grantTtl] is used while this office lasts. */
    fun covers(
        now: Instant,
        grantTtl: Duration,
    ): Boolean = now + grantTtl <= validUntil

    fun remember(
        id: RequestId,
        at: Instant,
    ): HomeOffice = copy(issuedAt = issuedAt.put(id, at))

    fun forget(id: RequestId): HomeOffice = copy(issuedAt = issuedAt.remove(id))

    /** Forgets [id] if it was issued before [oldest]; it may have been accepted again with a later issue time. */
    fun expire(
        id: RequestId,
        oldest: Instant,
    ): HomeOffice {
        val issued = issuedAt[id] ?: return this
        return if (issued <= oldest) forget(id) else this
    }
}
