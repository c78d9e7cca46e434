package org.anvilbarrow.kernel.jobs

import java.time.Instant

/** Number of stored jobs among [jobs] whose end is not stored, by what is known of their starts. */
internal class PendingCount(
    jobs: Sequence<JobRun>,
) {
    var open = 0
        private set

    /** Open jobs that no upstream has started, which callers are told are pending. */
    var pending = 0
        private set

    /** Pending jobs that were ordered to start, without a confirmation by any upstream. */
    var unconfirmed = 0
        private set

    /** When the oldest order for an unconfirmed job was decided on, or null if none is under way. */
    var oldestOrderAt: Instant? = null
        private set

    init {
        // An end counts once it is stored, as a successor would not know it; the job then leaves the open ones.
        jobs.filter { it.stored }.forEach(::add)
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
