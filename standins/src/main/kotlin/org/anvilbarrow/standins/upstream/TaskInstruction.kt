package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.StartRefusal

/** The instruction to start a task, as the headers of `POST /v1/tasks/{task}` carry it. */
public data class TaskInstruction(
    val task: TaskId,
    val requestId: String,
    val workload: String,
    val leaseEpoch: Long,
    val upstreamIncarnation: Long,
    /** The task may start only while the upstream's clock shows less than this. */
    val startByUpstreamMillis: Long,
    val resources: Resources,
)

/** Whether an instruction starts its task. */
public sealed interface StartDecision {
    /** The task runs from now on. */
    public data object Started : StartDecision

    /** The instruction did not start the task. */
    public data class Refused(
        val reason: StartRefusal,
    ) : StartDecision
}
