package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** What happened around the owner of a shard. */
public sealed interface CellEvent {
    /** Time passed. */
    public data object Tick : CellEvent

    public data class Configured(
        val config: CellConfig,
    ) : CellEvent

    /** The platform's list of upstreams was read. */
    public data class Listed(
        val entries: List<UpstreamEntry>,
    ) : CellEvent

    /** A caller asked for something; answered by [CellEffect.Answer] with the same [call]. */
    public data class Requested(
        val call: CallKey,
        val request: JobRequest,
    ) : CellEvent

    /** A look at [upstream] that was sent at [sentAt] ended. */
    public data class Observed(
        val upstream: UpstreamId,
        val sentAt: Instant,
        val result: Observation,
    ) : CellEvent

    public data class StartReturned(
        val upstream: UpstreamId,
        val task: TaskRef,
        val run: Long,
        val result: StartResult,
    ) : CellEvent

    public data class StopReturned(
        val upstream: UpstreamId,
        val task: TaskRef,
        val run: Long,
        val result: StopResult,
    ) : CellEvent

    /** A call for advice ended; [good] is null if it failed. */
    public data class Advised(
        val call: Long,
        val good: List<Ticket>?,
    ) : CellEvent

    /** The processes that can make calls for advice changed. */
    public data class HelpersChanged(
        val helpers: List<String>,
    ) : CellEvent

    /** The store acknowledged the records of the last [CellEffect.Store]. */
    public data object Stored : CellEvent

    /** The store rejected the records of the last [CellEffect.Store] because a later owner wrote. */
    public data object StoreFenced : CellEvent
}

/** Names a waiting caller: the process that it is connected to and a number chosen there. */
public data class CallKey(
    val origin: String,
    val number: Long,
)

/** What an upstream said of itself. */
public sealed interface Observation {
    public data class Seen(
        /** Clock of the upstream when it answered, in milliseconds. */
        val clockMillis: Long,
        /** Start time of this life of the upstream. */
        val life: Long,
        val running: List<RunningTask>,
        val ended: List<EndedTask>,
    ) : Observation

    /** The upstream has seen a higher fencing token. */
    public data object Displaced : Observation

    /** The address belongs to another upstream now. */
    public data object OtherUpstream : Observation

    public data class Failed(
        val reason: String,
    ) : Observation
}

/** A run that an upstream lists as running. */
public data class RunningTask(
    val task: TaskRef,
    val run: Long,
    /** Newest checkpoint, or empty. */
    val checkpoint: String,
    /** Share of the work that is done, 0 to 100. */
    val percent: Int,
)

/** A run that an upstream lists as ended. */
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
public sealed interface StartResult {
    /** The run is there. */
    public data object Started : StartResult

    public data object Displaced : StartResult

    /** The run was not started; [reason] says why. */
    public data class NotStarted(
        val reason: NotStartedReason,
    ) : StartResult

    /** No answer arrived; the order may have been carried out or may be later. */
    public data class Unanswered(
        val detail: String,
    ) : StartResult
}

/** Why an upstream did not start a run. */
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
public enum class StopResult {
    ACCEPTED,
    DISPLACED,
    OTHER_UPSTREAM,
    UNANSWERED,
}
