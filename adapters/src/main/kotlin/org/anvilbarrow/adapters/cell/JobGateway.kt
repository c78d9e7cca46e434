package org.anvilbarrow.adapters.cell

import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobRequest
import java.time.Duration

/** Answers callers about jobs, whichever process owns them. */
public interface JobGateway {
    /** Returns the configuration in force, or null before it is known. */
    public fun config(): CellConfig?

    /** Asks the owner of the job and waits up to [wait]. */
    public fun ask(
        request: JobRequest,
        wait: Duration,
    ): JobAnswer
}
