package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** Action that a [Cell] requests from its host process. */
public sealed interface CellEffect {
    /** Sends [order] to its upstream through the process [via]. Answered by [CellEvent.Reported]. */
    public data class Order(
        val via: String,
        val order: UpstreamOrder,
    ) : CellEffect

    /** Lets [helper] request advice on which of [upstreams] may run [step]. Answered by [CellEvent.Advised]. */
    public data class Advise(
        val call: Long,
        val helper: String,
        val step: StepRef,
        val upstreams: List<UpstreamId>,
        val timeout: Duration,
    ) : CellEffect

    /** Stores [records] atomically. Answered by [CellEvent.Stored]. At most one such effect is open at a time. */
    public data class Store(
        val records: List<KeyedRecord>,
    ) : CellEffect

    public data class Answer(
        val call: CallKey,
        val answer: JobAnswer,
    ) : CellEffect

    /** Gives up the shard, which another process owns. */
    public data class Resign(
        val reason: String,
    ) : CellEffect

    /** Logs a decision about [subject], which is the id of a job, step, task or upstream. */
    public data class Decided(
        val kind: String,
        val subject: String,
        val detail: String,
    ) : CellEffect
}
