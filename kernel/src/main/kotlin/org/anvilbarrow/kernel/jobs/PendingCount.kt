package org.anvilbarrow.kernel.jobs

import java.time.Instant

/** Number of stored, unfinished jobs among [jobs], by what is known of their starts. */
internal class PendingCount(
    jobs: Sequence<JobRun>,
) {
    var open = 0
        private set

    /** Open jobs that no upstream has started, which callers are told are pending. */
    var pending = 0
        private set

    /** Pending jobs that have start orders, none of which an upstream has confirmed. */
    var unconfirmed = 0
        private set

    /** When the oldest order for an unconfirmed job was decided on, or null if none is under way. */
    var oldestOrderAt: Instant? = null
        private set

    init {
        jobs.filter { it.stored && !it.phase.isFinal }.forEach(::add)
    }

    private fun add(job: JobRun) {
        open++
        if (job.isStarted) return
        pending++
        if (!job.isOrdered) return
        unconfirmed++
        oldestOrderAt = listOfNotNull(oldestOrderAt, job.oldestOrderAt()).minOrNull()
    }

    private fun JobRun.oldestOrderAt(): Instant? =
        steps.values.flatMap { it.active.values }.minOfOrNull { it.startedAt }
}
