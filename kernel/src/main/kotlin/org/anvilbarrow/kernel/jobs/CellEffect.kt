package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** What the owner of a shard wants done. */
public sealed interface CellEffect {
    /** Looks at an upstream, renews its leases and acknowledges its ends. */
    public data class Observe(
        val upstream: UpstreamId,
        val address: String,
        val token: Long,
        /** Ends up to this number are stored and may be forgotten. */
        val acknowledgeUpTo: Long,
        /** New end of the leases on the upstream's clock in milliseconds, or null to leave them as they are. */
        val leaseUntilMillis: Long?,
        /** How long the upstream may wait for an end before it answers. */
        val wait: Duration,
    ) : CellEffect

    public data class Start(
        val upstream: UpstreamId,
        val address: String,
        val token: Long,
        val task: TaskRef,
        val run: Long,
        val payload: String,
        /** End of the lease on the upstream's clock in milliseconds; an order that arrives later has no effect. */
        val leaseUntilMillis: Long,
        val checkpoint: String?,
        val ticket: String?,
    ) : CellEffect

    public data class Stop(
        val upstream: UpstreamId,
        val address: String,
        val token: Long,
        val task: TaskRef,
        val run: Long,
    ) : CellEffect

    /** Lets [helper] ask which of [upstreams] may run [step]. */
    public data class Advise(
        val call: Long,
        val helper: String,
        val step: StepRef,
        val upstreams: List<UpstreamId>,
        val timeout: Duration,
    ) : CellEffect

    /** Stores [records] all or none; answered by [CellEvent.Stored]. At most one is open. */
    public data class Store(
        val records: List<KeyedRecord>,
    ) : CellEffect

    public data class Answer(
        val call: CallKey,
        val answer: JobAnswer,
    ) : CellEffect

    /** Another process owns the shard. */
    public data class Resign(
        val reason: String,
    ) : CellEffect

    /** A decision for the log: [subject] is the id of a job, step, task or upstream. */
    public data class Decided(
        val kind: String,
        val subject: String,
        val detail: String,
    ) : CellEffect
}
