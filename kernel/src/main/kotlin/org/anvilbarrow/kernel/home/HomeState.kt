package org.anvilbarrow.kernel.home

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.kernel.core.DueTimes
import org.anvilbarrow.kernel.queue.RequestQueue
import org.anvilbarrow.kernel.queue.RunTimes
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.TaskId
import java.time.Instant

/** What a scheduler keeps as home of request ids. */
internal data class HomeState(
    val offices: PersistentMap<ShardId, HomeOffice> = persistentMapOf(),
    val requests: PersistentMap<PlacementKey, HomeRequest> = persistentMapOf(),
    val queue: RequestQueue = RequestQueue(),
    /** Request of every task that was asked for or granted and has not ended. */
    val tasks: PersistentMap<TaskId, PlacementKey> = persistentMapOf(),
    /** Reservations that were given up; an answer that still arrives is handed back. */
    val abandonedTasks: PersistentMap<TaskId, Instant> = persistentMapOf(),
    val runTimes: RunTimes = RunTimes(),
    /** Memory of ids that arrived from an earlier home. */
    val received: PersistentMap<ShardId, ReceivedMemory> = persistentMapOf(),
    /** Ids that were refused a moment ago. */
    val refusals: PersistentMap<RequestId, RememberedRefusal> = persistentMapOf(),
    val refusalExpiry: DueTimes<RequestId>,
    val requestChecks: DueTimes<PlacementKey>,
    val idExpiry: DueTimes<ExpiringId>,
) {
    companion object {
        fun startingAt(now: Instant): HomeState =
            HomeState(
                refusalExpiry = DueTimes.startingAt(now),
                requestChecks = DueTimes.startingAt(now),
                idExpiry = DueTimes.startingAt(now),
            )
    }
}

/** An id whose retention ends. */
internal data class ExpiringId(
    val shard: ShardId,
    val id: RequestId,
)
