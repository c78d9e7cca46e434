package org.anvilbarrow.standins.upstream

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.StartRefusal

/** What an upstream saw since its first start, over all incarnations; the answer to `GET /v1/audit?from=N`. */
@Serializable
public data class UpstreamAudit(
    val incarnation: Long,
    /** The highest committed use of every resource; the values may be from different moments. */
    val highestCommitted: Resources,
    /** Starts after which the committed use exceeded the capacity. */
    val overfills: Long,
    /** Tasks stopped because no scheduler held the lease for the task TTL. */
    val orphansStopped: Long,
    val refusals: List<RefusalCount>,
    /** Request ids that were run more than once here; expected only of gang jobs. */
    val duplicateRequests: List<RequestRuns>,
    val startCount: Long,
    /** Starts in order, from the one with index `from` on, at most [MAX_STARTS]. */
    val starts: List<StartRecord>,
) {
    public companion object {
        /** Most starts in one answer. */
        public const val MAX_STARTS: Int = 10_000
    }
}

/** One start of a task. */
@Serializable
public data class StartRecord(
    val task: TaskId,
    val requestId: String,
    val workload: String,
    val incarnation: Long,
    val leaseEpoch: Long,
    val startedAtUpstreamMillis: Long,
)

/** How often a request id was run. */
@Serializable
public data class RequestRuns(
    val requestId: String,
    val runs: Int,
)

/** How often instructions were refused for [reason]. */
@Serializable
public data class RefusalCount(
    val reason: StartRefusal,
    val count: Long,
)
