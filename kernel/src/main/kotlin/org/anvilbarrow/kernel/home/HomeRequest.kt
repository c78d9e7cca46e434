package org.anvilbarrow.kernel.home

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.Grant
import java.time.Instant

/** Identifies a request at its home: the scheduler that received it and its exchange there. */
internal data class PlacementKey(
    val ingress: SchedulerId,
    val exchange: ExchangeId,
)

/** A request at its home, from its arrival until its tasks ended. */
internal data class HomeRequest(
    val key: PlacementKey,
    val request: WorkRequest,
    val shard: ShardId,
    val round: Int,
    val queuedAt: Instant,
    val phase: Phase,
    /** Not dispatched before this moment; set after a gang could not reserve all it needs. */
    val notBefore: Instant = Instant.EPOCH,
    /** Upstreams on which an earlier round of this request failed. */
    val avoid: Set<UpstreamId> = emptySet(),
) {
    /** Returns the upstreams that this request should not be placed on again. */
    fun triedUpstreams(): Set<UpstreamId> {
        val granted = phase as? Phase.Granted ?: return avoid
        return avoid + granted.grants.map { it.upstream }
    }

    val deadline: Instant get() = Instant.ofEpochMilli(request.deadlineEpochMillis)

    /** How far the placement of a request has come. */
    sealed interface Phase {
        /** Waits in its lane. */
        data object Queued : Phase

        /** Waits for the owners that were [asked]; [grants] are already there. */
        data class Reserving(
            val since: Instant,
            val asked: PersistentSet<TaskId>,
            val grants: PersistentList<Grant>,
        ) : Phase

        /** The ingress has, or will get, all grants. */
        data class Granted(
            val grantedAt: Instant,
            val grants: List<Grant>,
            val running: PersistentSet<TaskId>,
        ) : Phase
    }
}
