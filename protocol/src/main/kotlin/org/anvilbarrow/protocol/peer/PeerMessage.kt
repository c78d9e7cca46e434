package org.anvilbarrow.protocol.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkRequest

/** A message between two schedulers. */
@Serializable
public sealed interface PeerMessage {
    /** Announces that the sender is alive, what it is home to and how much it could place. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        val scheduler: SchedulerId,
        val incarnation: Long,
        val region: String,
        val failureDomain: String,
        /** True during a planned stop: the sender takes no new shards and hands over those it has. */
        val stopping: Boolean,
        /** Shards whose request ids the sender is home to. */
        val homeOf: List<ShardId>,
        /** Free committed capacity of the sender's leased upstreams, summed. */
        val free: Resources,
        /** Offset after the last log record that the sender applied. */
        val appliedOffset: Long,
        /** Upstreams that the sender itself knows to be leaving, from the VM list or from their lease replies. */
        val leaving: List<UpstreamId> = emptyList(),
    ) : PeerMessage

    /** Asks the home of a request id to place the request; repeated with the same [exchange] until answered. */
    @Serializable
    @SerialName("place")
    public data class Place(
        val exchange: ExchangeId,
        /** Counts the placements that the ingress asked for in this exchange, from 1. */
        val round: Int,
        val request: WorkRequest,
    ) : PeerMessage

    /** Answers [Place]: the ingress may start these tasks, all of them. */
    @Serializable
    @SerialName("placed")
    public data class Placed(
        val exchange: ExchangeId,
        val round: Int,
        val request: RequestId,
        val grants: List<Grant>,
    ) : PeerMessage

    /** Answers [Place] with a final outcome, or with `NOT_HOME`, after which another home may be asked. */
    @Serializable
    @SerialName("not_placed")
    public data class NotPlaced(
        val exchange: ExchangeId,
        val round: Int,
        val outcome: Outcome,
    ) : PeerMessage

    /** Asks the owner of upstreams to commit capacity for one task. */
    @Serializable
    @SerialName("reserve")
    public data class Reserve(
        val task: TaskId,
        val workload: String,
        /** Region whose upstreams are asked for; not the workload's own if the request crosses regions. */
        val region: String,
        val resources: Resources,
        /** Upstreams that the home asks the owner to avoid, as earlier tasks of the request failed on them. */
        val avoid: List<UpstreamId> = emptyList(),
    ) : PeerMessage

    /** Answers [Reserve] with a grant. */
    @Serializable
    @SerialName("reserved")
    public data class Reserved(
        val grant: Grant,
    ) : PeerMessage

    /** Answers [Reserve]: the owner has no room; it is not asked again before its next heartbeat. */
    @Serializable
    @SerialName("reserve_denied")
    public data class ReserveDenied(
        val task: TaskId,
    ) : PeerMessage

    /** Tells the owner and the home of a task that it ended, or that it will never be started. */
    @Serializable
    @SerialName("task_ended")
    public data class TaskEnded(
        val task: TaskId,
        val upstream: UpstreamId,
        val result: TaskResult,
    ) : PeerMessage

    /** Tells the home that the caller of a queued request is gone. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val exchange: ExchangeId,
        val request: RequestId,
    ) : PeerMessage

    /** Hands the memory of request ids over to the next home of [shard]; large memories go in several parts. */
    @Serializable
    @SerialName("home_memory")
    public data class HomeMemory(
        val shard: ShardId,
        /** Lease of each anchor when the sender stopped being home. */
        val anchorLeases: List<AnchorLease>,
        /** The sender has a complete memory of ids issued after this instant. */
        val completeSinceEpochMillis: Long,
        val part: Int,
        val parts: Int,
        val ids: List<RememberedId>,
    ) : PeerMessage

    /** Asks a peer for its catalog, if it has applied at least [fromOffset]; sent while the log does not answer. */
    @Serializable
    @SerialName("catalog_request")
    public data class CatalogRequest(
        val fromOffset: Long,
    ) : PeerMessage

    /** Answers [CatalogRequest] with one part of the sender's catalog. */
    @Serializable
    @SerialName("catalog_part")
    public data class CatalogPart(
        val part: CatalogPayload.Snapshot,
    ) : PeerMessage

    /** Asks every scheduler to stop new work on an upstream before the log record of the drain is read. */
    @Serializable
    @SerialName("drain_notice")
    public data class DrainNotice(
        val upstream: UpstreamId,
    ) : PeerMessage
}

/** The lease that a home held on one of its anchors. */
@Serializable
public data class AnchorLease(
    val upstream: UpstreamId,
    val upstreamIncarnation: Long,
    val epoch: Long,
)

/** One remembered request id. */
@Serializable
public data class RememberedId(
    val id: RequestId,
    val issuedAtEpochMillis: Long,
)

/** How a granted task ended, as far as its ingress knows. */
@Serializable
public enum class TaskResult {
    /** The upstream sent the whole answer. */
    @SerialName("answered")
    ANSWERED,

    /** The task did not run and will not. */
    @SerialName("not_run")
    NOT_RUN,

    /** The upstream answered that the task failed. */
    @SerialName("failed")
    FAILED,

    /** The connection was lost; the task may still be running. */
    @SerialName("lost")
    LOST,

    /** The ingress gave the task up on purpose; it may still be running. */
    @SerialName("stopped")
    STOPPED,
}
