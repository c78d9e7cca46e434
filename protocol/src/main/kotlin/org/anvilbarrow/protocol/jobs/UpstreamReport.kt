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

/** True if [report] is of the kind that answers this order. */
public fun UpstreamOrder.isAnsweredBy(report: UpstreamReport): Boolean =
    when (this) {
        is UpstreamOrder.Observe -> report is UpstreamReport.Observed
        is UpstreamOrder.Start -> report is UpstreamReport.Started
        is UpstreamOrder.Stop -> report is UpstreamReport.Stopped
    }

/** Returns the report for an order without an answer, which may have been executed or may still be. */
public fun UpstreamOrder.unanswered(detail: String): UpstreamReport =
    when (this) {
        is UpstreamOrder.Observe -> UpstreamReport.Observed(Observation.Failed(detail))
        is UpstreamOrder.Start -> UpstreamReport.Started(StartResult.Unanswered(detail))
        is UpstreamOrder.Stop -> UpstreamReport.Stopped(StopResult.UNANSWERED)
    }

/** Result of [UpstreamOrder.Observe]. */
@Serializable
public sealed interface Observation {
    @Serializable
    @SerialName("seen")
    public data class Seen(
        /** Time on the upstream's clock when it answered, in milliseconds. */
        val clockMillis: Long,
        /** Start time of the upstream's process, which identifies its incarnation, or [UNKNOWN_INCARNATION]. */
        @SerialName("life") val incarnation: Long,
        val running: List<RunningTask>,
        val ended: List<EndedTask>,
        /** True if rows of either list are missing; a run in neither list may then exist or have ended. */
        val omitsRuns: Boolean = false,
    ) : Observation {
        public companion object {
            /** Value of [incarnation] if the upstream did not report its start time. */
            public const val UNKNOWN_INCARNATION: Long = 0
        }
    }

    /** The upstream has seen a higher fencing token. */
    @Serializable
    @SerialName("displaced")
    public data object Displaced : Observation

    /** The address now belongs to another upstream. */
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
    /** Progress of the run, from 0 to 100. */
    val percent: Int,
)

/** A run that an upstream lists as ended. */
@Serializable
public data class EndedTask(
    /** Sequence number of the ended run in this incarnation of the upstream, starting at 1. */
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

    /** The lease expired. */
    LAPSED,

    /** Another run of the gang ended. */
    BROKEN,

    /** The other runs of the gang did not start in time. */
    ALONE,
}

/** Result of [UpstreamOrder.Start]. */
@Serializable
public sealed interface StartResult {
    /** The run exists on the upstream. */
    @Serializable
    @SerialName("started")
    public data object Started : StartResult

    @Serializable
    @SerialName("displaced")
    public data object Displaced : StartResult

    /** The upstream did not start the run. */
    @Serializable
    @SerialName("not_started")
    public data class NotStarted(
        val reason: NotStartedReason,
    ) : StartResult

    /** No answer arrived; the order may have been executed or may still be. */
    @Serializable
    @SerialName("unanswered")
    public data class Unanswered(
        val detail: String,
    ) : StartResult
}

/** Why an upstream did not start a run. */
@Serializable
public enum class NotStartedReason {
    /** This run or one with a higher number was already stopped or has ended on the upstream. */
    OLD,

    /** The lease in the order had already expired. */
    LATE,
    ROOM,
    TICKET,
    OTHER_UPSTREAM,
    UNHEALTHY,
    MALFORMED,
}

/** Result of [UpstreamOrder.Stop]. */
@Serializable
public enum class StopResult {
    ACCEPTED,
    DISPLACED,
    OTHER_UPSTREAM,
    UNANSWERED,
}
