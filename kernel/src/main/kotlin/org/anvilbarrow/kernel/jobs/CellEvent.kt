package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.ImmutableList
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import java.time.Instant

/** Input of a [Cell]. */
public sealed interface CellEvent {
    /** Periodic event that drives timeouts. */
    public data object Tick : CellEvent

    public data class Configured(
        val config: CellConfig,
    ) : CellEvent

    /** The platform's list of upstreams was read. */
    public data class Listed(
        val entries: List<UpstreamEntry>,
    ) : CellEvent

    /** A read of the platform's list that began at [readBeganAt] has returned all changes that existed then. */
    public data class ListConfirmed(
        val readBeganAt: Instant,
    ) : CellEvent

    /** A caller sent a request. Answered by [CellEffect.Answer] with the same [call]. */
    public data class Requested(
        val call: CallKey,
        val request: JobRequest,
    ) : CellEvent

    /** [order], which was sent at [sentAt], was answered or timed out. */
    public data class Reported(
        val order: UpstreamOrder,
        val sentAt: Instant,
        val report: UpstreamReport,
    ) : CellEvent

    /** A call to the advice service ended. [good] has a ticket for each allowed upstream, or is null if it failed. */
    public data class Advised(
        val call: Long,
        val good: List<Ticket>?,
    ) : CellEvent

    /** The processes that can call upstreams and the advice service for the owner changed. The owner is one of them. */
    public data class HelpersChanged(
        val helpers: ImmutableList<CellMember>,
    ) : CellEvent

    /** The store acknowledged the records of the last [CellEffect.Store]. */
    public data object Stored : CellEvent

    /** The store refuses a record of the last [CellEffect.Store] for good; [Stored] follows for the others. */
    public data class RecordRefused(
        val key: String,
    ) : CellEvent

    /** The records of the last [CellEffect.Store] are not stored: a later owner wrote, or their sequence broke. */
    public data object StoreFenced : CellEvent
}

/** Identifies a waiting caller: the process that it is connected to, and a number assigned there. */
public data class CallKey(
    val origin: String,
    val number: Long,
)
