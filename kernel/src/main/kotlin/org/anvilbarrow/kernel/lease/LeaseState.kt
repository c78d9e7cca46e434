package org.anvilbarrow.kernel.lease

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** Leases of upstreams and what is needed to obtain and judge them. */
internal data class LeaseState(
    val leases: PersistentMap<UpstreamId, UpstreamLease> = persistentMapOf(),
    val attempts: PersistentMap<UpstreamId, LeaseAttempt> = persistentMapOf(),
    val health: PersistentMap<UpstreamId, UpstreamHealth> = persistentMapOf(),
    /** Since when another scheduler is meant to own a shard of which this one holds leases. */
    val notIntendedSince: PersistentMap<ShardId, Instant> = persistentMapOf(),
    /** Shards that are being handed over, and since when nothing new is placed on them. */
    val closingSince: PersistentMap<ShardId, Instant> = persistentMapOf(),
)
