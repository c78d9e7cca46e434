package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** What the owner of a shard wants done. */
public sealed interface CellEffect {
    /** Sends [order] to its upstream through the process [via]; answered by [CellEvent.Reported]. */
    public data class Order(
        val via: String,
        val order: UpstreamOrder,
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
