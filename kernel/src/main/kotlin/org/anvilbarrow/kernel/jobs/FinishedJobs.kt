package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.FinishedJob
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import java.time.Instant

/**
 * Finished jobs within their retention, in the groups in which they are stored.
 *
 * A cell retains about a thousand finished jobs for a hundred open ones. With two records for each, a successor would
 * spend half a second on reading them before it starts any task. Confined to the control thread.
 */
internal class FinishedJobs {
    private val groups = LinkedHashMap<Long, List<FinishedJob>>()
    private val byId = HashMap<JobId, FinishedJob>()
    private var lastGroup = 0L

    operator fun get(id: JobId): FinishedJob? = byId[id]

    fun load(stored: Map<Long, FinishedJobsRecord>) {
        stored.toSortedMap().forEach { (number, record) ->
            groups[number] = record.jobs
            record.jobs.forEach { byId[it.job] = it }
            lastGroup = number
        }
    }

    /** Adds [jobs] and returns the numbers of the groups that have changed. */
    fun add(jobs: Collection<FinishedJob>): Set<Long> {
        val changed = LinkedHashSet<Long>()
        for (job in jobs) {
            if ((groups[lastGroup]?.size ?: GROUP_SIZE) >= GROUP_SIZE) lastGroup++
            groups[lastGroup] = groups[lastGroup].orEmpty() + job
            byId[job.job] = job
            changed += lastGroup
        }
        return changed
    }

    /** Returns the record of [group], or null if the group has expired. */
    fun recordOf(group: Long): FinishedJobsRecord? = groups[group]?.let(::FinishedJobsRecord)

    /** Removes the groups whose jobs all ended before [time], and returns their numbers. */
    fun expireBefore(time: Instant): Set<Long> {
        val old = groups.filterValues { jobs -> jobs.all { it.endedAtEpochMillis < time.toEpochMilli() } }
        old.forEach { (number, jobs) ->
            groups -= number
            jobs.forEach { byId -= it.job }
        }
        return old.keys
    }

    private companion object {
        /** Each batch with a finished job rewrites the newest group, at about 60 bytes per job. */
        const val GROUP_SIZE = 32
    }
}
