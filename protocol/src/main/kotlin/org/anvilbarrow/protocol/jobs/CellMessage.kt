package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.UpstreamId

/** A message between two processes of a cell. */
@Serializable
public sealed interface CellMessage {
    /** First message on a connection, from the process that opened it. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val protocolVersion: Int,
        /** The sender. */
        val member: CellMember,
        val incarnation: Long,
    ) : CellMessage

    /** Asks the owner of [shard] for a change or an answer; answered by [Reply] with the same [call]. */
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

    /** Asks the receiver to make a call for advice; answered by [Advised] with the same [call]. */
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

    /** The owner of [shard] under [token] is rejected by the store and asks for a successor. */
    @Serializable
    @SerialName("successor_wanted")
    public data class SuccessorWanted(
        val shard: Int,
        val token: Long,
    ) : CellMessage

    /** The newest claim of [shard] that the sender knows; the receiver may be cut off from the store that holds it. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(
        val shard: Int,
        val claim: ClaimRecord,
    ) : CellMessage

    /** Orders that the receiver carries out for the owner; answered by [Reports]. */
    @Serializable
    @SerialName("orders")
    public data class Orders(
        val orders: List<NumberedOrder>,
    ) : CellMessage

    /** Answers [Orders], each once and in any order. */
    @Serializable
    @SerialName("reports")
    public data class Reports(
        val reports: List<NumberedReport>,
    ) : CellMessage

    public companion object {
        /** Version of these messages; processes of another version are not talked to. */
        public const val PROTOCOL_VERSION: Int = 3
    }
}

/** An order with a number that its sender chose. */
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

/** What callers ask of the owner of a job. */
@Serializable
public sealed interface JobRequest {
    @Serializable
    @SerialName("submit")
    public data class Submit(
        val job: JobId,
        val queue: String,
        val spec: JobSpec,
    ) : JobRequest

    @Serializable
    @SerialName("status")
    public data class Status(
        val job: JobId,
        val queue: String,
    ) : JobRequest

    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        val job: JobId,
        val queue: String,
    ) : JobRequest

    /** Asks how many accepted jobs of [queue] have not begun. */
    @Serializable
    @SerialName("pending")
    public data class Pending(
        val queue: String,
    ) : JobRequest
}

/** Answers of the owner of a job. */
@Serializable
public sealed interface JobAnswer {
    /** The job is stored. */
    @Serializable
    @SerialName("accepted")
    public data object Accepted : JobAnswer

    /** The request had no effect and will have none; [retryAfterMillis] says when to come back. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val reason: String,
        val retryAfterMillis: Long,
    ) : JobAnswer

    /** The job can never run; [reason] names the field. */
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

    /** The process that was asked does not own the shard and did nothing. */
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
