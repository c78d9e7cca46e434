package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.UpstreamId

/** A message between two processes of a cell. */
@Serializable
public sealed interface CellMessage {
    /** Handshake; the first message on a connection, from the process that opened it. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val protocolVersion: Int,
        /** The sender. */
        val member: CellMember,
        val incarnation: Long,
    ) : CellMessage

    /** Forwards a request to the owner of [shard]; answered by a [Reply] with the same [call] number. */
    @Serializable
    @SerialName("request")
    public data class Request(
        val call: Long,
        val shard: Int,
        val request: JobRequest,
    ) : CellMessage

    /** Answers [Request]. */
    @Serializable
    @SerialName("reply")
    public data class Reply(
        val call: Long,
        val answer: JobAnswer,
    ) : CellMessage

    /** Asks the receiver to call the advice service; answered by an [Advised] with the same [call] number. */
    @Serializable
    @SerialName("advise")
    public data class Advise(
        val call: Long,
        val step: StepRef,
        val upstreams: List<UpstreamId>,
        val timeoutMillis: Long,
    ) : CellMessage

    /** Answers [Advise]; [tickets] is null if the call failed. */
    @Serializable
    @SerialName("advised")
    public data class Advised(
        val call: Long,
        @SerialName("good") val tickets: List<Ticket>?,
    ) : CellMessage

    /** The store rejects writes of the owner of [shard] with [token], which asks its peers to take over. */
    @Serializable
    @SerialName("successor_wanted")
    public data class SuccessorWanted(
        val shard: Int,
        val token: Long,
    ) : CellMessage

    /** The newest claim of [shard] known to the sender, for receivers that cannot reach the store. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(
        val shard: Int,
        val claim: ClaimRecord,
    ) : CellMessage

    /** Orders that the receiver sends to upstreams on behalf of the owner; answered by [Reports]. */
    @Serializable
    @SerialName("orders")
    public data class Orders(
        val orders: List<NumberedOrder>,
    ) : CellMessage

    /** Answers [Orders]; each order is answered once, and in no particular sequence. */
    @Serializable
    @SerialName("reports")
    public data class Reports(
        val reports: List<NumberedReport>,
    ) : CellMessage

    public companion object {
        /** Version of these messages; connections from processes of other versions are rejected. */
        public const val PROTOCOL_VERSION: Int = 4
    }
}

/** An order with a correlation number assigned by its sender. */
@Serializable
public data class NumberedOrder(
    val number: Long,
    val order: UpstreamOrder,
)

/** Answers the order with the same number. */
@Serializable
public data class NumberedReport(
    val number: Long,
    val report: UpstreamReport,
)

/** Permission to run a step on an upstream for a limited time. */
@Serializable
public data class Ticket(
    val upstream: UpstreamId,
    val value: String,
)

/**
 * Requests of callers to the owner of a job.
 *
 * The process that a caller is connected to checks its API key; only the name of the workspace is passed on.
 */
@Serializable
public sealed interface JobRequest {
    /** Workspace of the caller, or null if the queue needs no API key. */
    public val workspace: String?

    @Serializable
    @SerialName("submit")
    public data class Submit(
        val job: JobId,
        val queue: String,
        val spec: JobSpec,
        override val workspace: String? = null,
    ) : JobRequest

    @Serializable
    @SerialName("status")
    public data class Status(
        val job: JobId,
        val queue: String,
        override val workspace: String? = null,
    ) : JobRequest

    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val job: JobId,
        val queue: String,
        override val workspace: String? = null,
    ) : JobRequest

    /** Asks for the number of accepted jobs of [queue] that have not started. */
    @Serializable
    @SerialName("pending")
    public data class Pending(
        val queue: String,
        override val workspace: String? = null,
    ) : JobRequest
}

/** Answers of the owner of a job. */
@Serializable
public sealed interface JobAnswer {
    /** The job is stored. */
    @Serializable
    @SerialName("accepted")
    public data object Accepted : JobAnswer

    /** The request has no effect; the caller may retry after [retryAfterMillis]. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val reason: String,
        val retryAfterMillis: Long,
    ) : JobAnswer

    /** The job is invalid and can never run; [reason] names the field. */
    @Serializable
    @SerialName("invalid")
    public data class Invalid(
        val reason: String,
    ) : JobAnswer

    @Serializable
    @SerialName("not_found")
    public data object NotFound : JobAnswer

    @Serializable
    @SerialName("state")
    public data class State(
        val phase: JobPhase,
        val reason: String? = null,
    ) : JobAnswer

    @Serializable
    @SerialName("cancelled")
    public data object Cancelled : JobAnswer

    @Serializable
    @SerialName("count")
    public data class Count(
        val pending: Int,
    ) : JobAnswer

    /** The receiver does not own the shard and did nothing. */
    @Serializable
    @SerialName("not_owner")
    public data object NotOwner : JobAnswer

    /** The request may or may not have taken effect. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(
        val reason: String,
    ) : JobAnswer
}
