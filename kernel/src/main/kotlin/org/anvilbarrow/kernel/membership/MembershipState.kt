package org.anvilbarrow.kernel.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.anvilbarrow.kernel.catalog.Versioned
import org.anvilbarrow.kernel.shard.OwnerCandidate
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** What a scheduler knows of the other processes and VMs. */
internal data class MembershipState(
    val startedAt: Instant,
    /** Peers named in the settings; the only ones that are sent heartbeats. */
    val configuredPeers: PersistentList<SchedulerId>,
    val peers: PersistentMap<SchedulerId, PeerView> = persistentMapOf(),
    val lastHeartbeatAt: Instant = Instant.EPOCH,
    /** True if a reservation was denied since the last heartbeat, so that peers wait to hear of free capacity. */
    val peerWaits: Boolean = false,
    /** Upstreams that the VM list shows as leaving. */
    val leavingVms: PersistentSet<UpstreamId> = persistentSetOf(),
    /** Upstreams that a peer or operator asked to drain, before the log record of it is read. */
    val drainNotices: PersistentMap<UpstreamId, Instant> = persistentMapOf(),
    /** Live schedulers and shards from which [intendedOwners] was worked out. */
    val assignedFrom: AssignmentBasis? = null,
    /** Scheduler that is meant to own each shard. */
    val intendedOwners: PersistentMap<ShardId, SchedulerId> = persistentMapOf(),
)

/** What the assignment of shards depends on. */
internal data class AssignmentBasis(
    val live: List<OwnerCandidate>,
    val shards: PersistentMap<ShardId, Versioned<ShardSpec>>,
)
