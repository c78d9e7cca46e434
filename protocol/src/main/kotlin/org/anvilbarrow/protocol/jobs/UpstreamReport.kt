package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to an [UpstreamOrder]. */
@Serializable
public sealed interface UpstreamReport {
    /** Answers [UpstreamOrder.Observe]. */
    @Serializable
    @SerialName("observed")
    public data class Observed(
        val result: Observation,
    ) : UpstreamReport

    /** Answers [UpstreamOrder.Start]. */
    @Serializable
    @SerialName("started")
    public data class Started(
        val result: StartResult,
    ) : UpstreamReport

    /** Answers [UpstreamOrder.Stop]. */
    @Serializable
    @SerialName("stopped")
    public data class Stopped(
        val result: StopResult,
    ) : UpstreamReport
}

/** Returns the report of an order that has no answer; it may have been carried out or may be later. */
public fun UpstreamOrder.unanswered(detail: String): UpstreamReport =
    when (this) {
        is UpstreamOrder.Observe -> UpstreamReport.Observed(Observation.Failed(detail))
        is UpstreamOrder.Start -> UpstreamReport.Started(StartResult.Unanswered(detail))
        is UpstreamOrder.Stop -> UpstreamReport.Stopped(StopResult.UNANSWERED)
    }

/** What an upstream said of itself. */
@Serializable
public sealed interface Observation {
    @Serializable
    @SerialName("seen")
    public data class Seen(
        /** Clock of the upstream when it answered, in milliseconds. */
        val clockMillis: Long,
        /** Start time of this life of the upstream. */
        @SerialName("life") val incarnation: Long,
        val running: List<RunningTask>,
        val ended: List<EndedTask>,
    ) : Observation

    /** The upstream has seen a higher fencing token. */
    @Serializable
    @SerialName("displaced")
    public data object Displaced : Observation

    /** The address belongs to another upstream now. */
    @Serializable
    @SerialName("other_upstream")
    public data object OtherUpstream : Observation

    @Serializable
    @SerialName("failed")
    public data class Failed(
        val reason: String,
    ) : Observation
}

/** A run that an upstream lists as running. */
@Serializable
public data class RunningTask(
    val task: TaskRef,
    val run: Long,
    /** Newest checkpoint, or empty. */
    val checkpoint: String,
    /** Share of the work that is done, 0 to 100. */
    val percent: Int,
)

/** A run that an upstream lists as ended. */
@Serializable
public data class EndedTask(
    /** Number of the end in this life of the upstream, from 1. */
    val number: Long,
    val task: TaskRef,
    val run: Long,
    val end: RunEnd,
    /** Newest checkpoint, or empty. */
    val checkpoint: String,
)

/** How a run ended. */
@Serializable
public enum class RunEnd {
    DONE,

    /** The task or the upstream failed. */
    FAILED,
    STOPPED,

    /** The lease lapsed. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not appear in time. */
    ALONE,
}

/** What became of an order to start a run. */
@Serializable
public sealed interface StartResult {
    /** The run is there. */
    @Serializable
    @SerialName("started")
    public data object Started : StartResult

    @Serializable
    @SerialName("displaced")
    public data object Displaced : StartResult

    /** The run was not started; [reason] says why. */
    @Serializable
    @SerialName("not_started")
    public data class NotStarted(
        val reason: NotStartedReason,
    ) : StartResult

    /** No answer arrived; the order may have been carried out or may be later. */
    @Serializable
    @SerialName("unanswered")
    public data class Unanswered(
        val detail: String,
    ) : StartResult
}

/** Why an upstream did not start a run. */
@Serializable
public enum class NotStartedReason {
    /** This run or a higher one was stopped or ended there. */
    OLD,

    /** The lease of the order had passed. */
    LATE,
    ROOM,
    TICKET,
    OTHER_UPSTREAM,
    UNHEALTHY,
    MALFORMED,
}

/** What became of an order to stop a run. */
@Serializable
public enum class StopResult {
    ACCEPTED,
    DISPLACED,
    OTHER_UPSTREAM,
    UNANSWERED,
}
