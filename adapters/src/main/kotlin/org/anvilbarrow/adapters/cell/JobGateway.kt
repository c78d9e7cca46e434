package org.anvilbarrow.adapters.cell

import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.QueueConfig
import org.anvilbarrow.kernel.workspaces.AccessDecision
import org.anvilbarrow.kernel.workspaces.ApiKeyDigest
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobRequest
import java.time.Duration

/** Routes requests about jobs to the process that owns them. */
public interface JobGateway {
    /** Returns the current configuration, or null before the first one was read. */
    public fun config(): CellConfig?

    /** Decides whether a caller that presents [key], or none, may use the queue [queue] now. */
    public fun authorize(
        queue: QueueConfig,
        key: ApiKeyDigest?,
    ): AccessDecision

    /** Sends [request] to the owner of the job and waits up to [wait] for the answer. */
    public fun ask(
        request: JobRequest,
        wait: Duration,
    ): JobAnswer
}
