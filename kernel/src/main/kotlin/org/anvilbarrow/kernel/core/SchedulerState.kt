package org.anvilbarrow.kernel.core

import org.anvilbarrow.kernel.catalog.Catalog
import org.anvilbarrow.kernel.catalog.CatalogSyncState
import org.anvilbarrow.kernel.home.HomeState
import org.anvilbarrow.kernel.ingress.IngressState
import org.anvilbarrow.kernel.lease.LeaseState
import org.anvilbarrow.kernel.membership.MembershipState
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** Everything one scheduler knows; owned by the control thread. */
@ConsistentCopyVisibility
public data class SchedulerState internal constructor(
    val self: SchedulerIdentity,
    val catalog: Catalog = Catalog(),
    /** True from the start of a planned stop on. */
    val stopping: Boolean = false,
    internal val membership: MembershipState,
    internal val lease: LeaseState = LeaseState(),
    internal val home: HomeState,
    internal val ingress: IngressState,
    internal val sync: CatalogSyncState,
    /** Counts the tasks that this scheduler named. */
    internal val lastTask: Long = 0,
) {
    /** True if requests may be sent here: the catalog is current and no planned stop has begun. */
    public val isReady: Boolean get() = catalog.current && !stopping

    /** Exchanges that have no final outcome yet. */
    public val openExchanges: Int get() = ingress.exchanges.size

    /** Requests that wait at this scheduler as their home. */
    public val queuedRequests: Int get() = home.queue.size

    /** Upstreams whose lease is valid at [now]. */
    public fun ownedUpstreams(now: Instant): List<UpstreamId> =
        lease.leases.entries
            .filter { it.value.isValid(now) }
            .map { it.key }
            .sorted()

    /** Shards to whose request ids this scheduler is home at [now]. */
    public fun homeShards(now: Instant): List<ShardId> =
        home.offices.entries
            .filter { it.value.isValid(now) && it.key !in lease.closingSince }
            .map { it.key }
            .sorted()

    /** Peers heard from within the peer timeout before [now]. */
    public fun livePeers(
        now: Instant,
        limits: KernelLimits,
    ): List<SchedulerId> =
        membership.peers.entries
            .filter { it.value.isLive(now, limits.peerTimeout) }
            .map { it.key }
            .sorted()

    /** Capacity of the owned upstreams that is committed to tasks. */
    public val committed: Resources
        get() = lease.leases.values.fold(Resources.NONE) { sum, lease -> sum + lease.ledger.committed }
}
