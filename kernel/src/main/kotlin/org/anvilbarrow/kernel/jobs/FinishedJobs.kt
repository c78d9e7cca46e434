package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.FinishedJob
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import java.time.Instant

/**
 * Finished jobs until they are forgotten, in the groups in which they are stored.
 *
 * A cell keeps a thousand finished jobs for a hundred open ones. With two records for each, a successor would read
 * them for half a second before it starts anything. It is confined to the control thread.
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

    /** Adds [jobs] and returns the numbers of the groups that are to be stored again. */
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

    /** Returns what is to be stored of [group], or null if it was forgotten. */
    fun recordOf(group: Long): FinishedJobsRecord? = groups[group]?.let(::FinishedJobsRecord)

    /** Forgets the groups whose jobs all ended before [time], and returns their numbers. */
    fun forgetBefore(time: Instant): Set<Long> {
        val old = groups.filterValues { jobs -> jobs.all { it.endedAtEpochMillis < time.toEpochMilli() } }
        old.forEach { (number, jobs) ->
            groups -= number
            jobs.forEach { byId -= it.job }
        }
        return old.keys
    }

    private companion object {
        /** A batch stores the newest group again, about 60 bytes for each of its jobs. */
        const val GROUP_SIZE = 32
    }
}
