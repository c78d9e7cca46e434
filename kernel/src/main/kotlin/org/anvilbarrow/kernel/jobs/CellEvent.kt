package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.ImmutableList
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
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

    /** [order], which was sent at [sentAt], was answered or was given up. */
    public data class Reported(
        val order: UpstreamOrder,
        val sentAt: Instant,
        val report: UpstreamReport,
    ) : CellEvent

    /** A call for advice ended; [good] is null if it failed. */
    public data class Advised(
        val call: Long,
        val good: List<Ticket>?,
    ) : CellEvent

    /** The processes that can call upstreams and the advice service for the owner changed, itself among them. */
    public data class HelpersChanged(
        val helpers: ImmutableList<CellMember>,
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
