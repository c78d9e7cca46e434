package org.anvilbarrow.kernel.jobs

import kotlinx.serialization.KSerializer
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/**
 * Collects what has to be stored and what waits for it.
 *
 * One batch is open at a time. A change that is made while a batch is open goes into the next one, together with all
 * others until then.
 */
internal class Journal(
    private val finished: FinishedJobs,
    /** Called when the end of a job is stored. */
    private val onFinished: (JobRun) -> Unit,
) {
    private val submissions = LinkedHashSet<JobRun>()
    private val changed = LinkedHashSet<JobRun>()
    private val forgottenGroups = LinkedHashSet<Long>()
    private val upstreams = LinkedHashMap<UpstreamId, UsedUpstreamRecord?>()
    private var afterNext = ArrayList<() -> Unit>()
    private var afterOpen: List<() -> Unit> = emptyList()
    private var openSince: Instant? = null

    fun submitted(job: JobRun) {
        submissions += job
    }

    /** Nothing is stored of a job after its end. */
    fun changed(job: JobRun) {
        if (!job.endHandedToStore) changed += job
    }

    /** The groups [numbers] of finished jobs are dropped. */
    fun forgotten(numbers: Set<Long>) {
        forgottenGroups += numbers
    }

    fun upstream(
        id: UpstreamId,
        record: UsedUpstreamRecord?,
    ) {
        upstreams[id] = record
    }

    /** Runs [action] once everything that was changed so far is stored. */
    fun afterStored(action: () -> Unit) {
        afterNext += action
    }

    /** How long the store has not answered; zero if nothing is open. */
    fun stalledFor(now: Instant): Duration = openSince?.let { Duration.between(it, now) } ?: Duration.ZERO

    /** True if [job] has not been handed to the store. */
    fun isUnsent(job: JobRun): Boolean = job in submissions

    /** Takes back a submission that has not been handed to the store. */
    fun withdraw(job: JobRun) {
        submissions -= job
        changed -= job
    }

    /** Returns the next batch, or null if one is open or nothing changed. */
    fun next(now: Instant): List<KeyedRecord>? {
        if (openSince != null) return null
        val records = takeRecords()
        if (records.isEmpty()) {
            // Everything that the actions wait for is stored already.
            val ready = afterNext
            afterNext = ArrayList()
            ready.forEach { it() }
            return null
        }
        afterOpen = afterNext
        afterNext = ArrayList()
        openSince = now
        return records
    }

    private fun takeRecords(): List<KeyedRecord> {
        val records = ArrayList<KeyedRecord>()
        val (ended, open) = changed.partition { it.phase.isFinal }
        (submissions - ended.toSet()).mapTo(records) {
            record(ShardKeyPrefixes.SUBMISSION + it.id, SubmissionRecord.serializer(), it.submission)
        }
        open.mapTo(records) { record(ShardKeyPrefixes.PROGRESS + it.id, ProgressRecord.serializer(), it.progress()) }
        records += endRecords(ended)
        upstreams.mapTo(records) { (id, used) ->
            record(ShardKeyPrefixes.UPSTREAM + id, UsedUpstreamRecord.serializer(), used)
        }
        listOf(submissions, changed, forgottenGroups).forEach { it.clear() }
        upstreams.clear()
        return records
    }

    /** Finished jobs leave their own records and are stored in groups. */
    private fun endRecords(ended: List<JobRun>): List<KeyedRecord> {
        val records = ArrayList<KeyedRecord>()
        ended.forEach { job ->
            job.endHandedToStore = true
            records += KeyedRecord(ShardKeyPrefixes.PROGRESS + job.id, null)
            records += KeyedRecord(ShardKeyPrefixes.SUBMISSION + job.id, null)
            afterNext += { onFinished(job) }
        }
        (finished.add(ended.map { it.finished() }) + forgottenGroups).mapTo(records) { group ->
            record(ShardKeyPrefixes.FINISHED + group, FinishedJobsRecord.serializer(), finished.recordOf(group))
        }
        return records
    }

    /** Without a [value], the key is dropped. */
    private fun <T> record(
        key: String,
        serializer: KSerializer<T>,
        value: T?,
    ) = KeyedRecord(key, value?.let { RecordCodec.encode(serializer, it) })

    /** The open batch is stored. */
    fun stored() {
        openSince = null
        val ready = afterOpen
        afterOpen = emptyList()
        ready.forEach { it() }
    }
}
