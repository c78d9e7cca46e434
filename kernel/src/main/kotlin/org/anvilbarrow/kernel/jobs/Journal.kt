package org.anvilbarrow.kernel.jobs

import kotlinx.serialization.KSerializer
import org.anvilbarrow.protocol.jobs.CrashRecord
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/**
 * Collects changes into batches for the store, and actions that run once these are stored.
 *
 * At most one batch is open, that is, sent and not confirmed. Changes made meanwhile are combined in the next batch.
 */
internal class Journal(
    private val finished: FinishedJobs,
    /** Called once the end of a job is stored. */
    private val onFinished: (JobRun) -> Unit,
) {
    private val submissions = LinkedHashSet<JobRun>()
    private val changed = LinkedHashSet<JobRun>()
    private val crashesChanged = LinkedHashSet<JobRun>()
    private val orphanedCrashRecords = LinkedHashSet<JobId>()
    private val expiredGroups = LinkedHashSet<Long>()
    private val upstreams = LinkedHashMap<UpstreamId, UsedUpstreamRecord?>()
    private var actionsAfterNext = ArrayList<() -> Unit>()
    private var actionsAfterOpen: List<() -> Unit> = emptyList()
    private var openSince: Instant? = null

    fun submitted(job: JobRun) {
        submissions += job
    }

    /** Marks the progress of [job] for the next batch; ignored once its end has been sent to the store. */
    fun changed(job: JobRun) {
        if (!job.endHandedToStore) changed += job
    }

    /** Marks the crashes under tasks of [job] for the next batch. */
    fun crashesChanged(job: JobRun) {
        if (!job.endHandedToStore) crashesChanged += job
    }

    /** Marks the crash records of [jobs], which do not exist any more, for deletion. */
    fun crashesOrphaned(jobs: Collection<JobId>) {
        orphanedCrashRecords += jobs
    }

    /** Marks the groups [numbers] of finished jobs for deletion. */
    fun groupsExpired(numbers: Set<Long>) {
        expiredGroups += numbers
    }

    /** Sets the record of the upstream [id]; null deletes it. */
    fun upstream(
        id: UpstreamId,
        record: UsedUpstreamRecord?,
    ) {
        upstreams[id] = record
    }

    /** Runs [action] once all changes made so far are stored. */
    fun afterStored(action: () -> Unit) {
        actionsAfterNext += action
    }

    /** Time since the open batch was sent, or zero if none is open. */
    fun stalledFor(now: Instant): Duration = openSince?.let { Duration.between(it, now) } ?: Duration.ZERO

    /** True if the submission of [job] has not been sent to the store. */
    fun isUnsent(job: JobRun): Boolean = job in submissions

    /** Discards the submission of [job], which must be unsent. */
    fun withdraw(job: JobRun) {
        submissions -= job
        changed -= job
        crashesChanged -= job
    }

    /** Returns the next batch, or null if one is open or nothing changed. */
    fun next(now: Instant): List<KeyedRecord>? {
        if (openSince != null) return null
        val records = takeRecords()
        if (records.isEmpty()) {
            // There is nothing left to store, so the actions run at once.
            val ready = actionsAfterNext
            actionsAfterNext = ArrayList()
            ready.forEach { it() }
            return null
        }
        actionsAfterOpen = actionsAfterNext
        actionsAfterNext = ArrayList()
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
        records += crashRecords()
        records += endRecords(ended)
        upstreams.mapTo(records) { (id, used) ->
            record(ShardKeyPrefixes.UPSTREAM + id, UsedUpstreamRecord.serializer(), used)
        }
        listOf(submissions, changed, crashesChanged, orphanedCrashRecords, expiredGroups).forEach { it.clear() }
        upstreams.clear()
        return records
    }

    private fun crashRecords(): List<KeyedRecord> {
        val records = orphanedCrashRecords.mapTo(ArrayList()) { KeyedRecord(ShardKeyPrefixes.CRASHES + it, null) }
        crashesChanged.filter { !it.phase.isFinal }.forEach { job ->
            val value = job.crashRecord()
            if (value != null || job.hasCrashRecord) {
                records += record(ShardKeyPrefixes.CRASHES + job.id, CrashRecord.serializer(), value)
            }
            job.hasCrashRecord = value != null
        }
        return records
    }

    /** Deletes the own records of the jobs that [ended], and stores the jobs in groups instead. */
    private fun endRecords(ended: List<JobRun>): List<KeyedRecord> {
        val records = ArrayList<KeyedRecord>()
        ended.forEach { job ->
            job.endHandedToStore = true
            records += KeyedRecord(ShardKeyPrefixes.PROGRESS + job.id, null)
            records += KeyedRecord(ShardKeyPrefixes.SUBMISSION + job.id, null)
            if (job.hasCrashRecord) records += KeyedRecord(ShardKeyPrefixes.CRASHES + job.id, null)
            actionsAfterNext += { onFinished(job) }
        }
        (finished.add(ended.map { it.finished() }) + expiredGroups).mapTo(records) { group ->
            record(ShardKeyPrefixes.FINISHED + group, FinishedJobsRecord.serializer(), finished.recordOf(group))
        }
        return records
    }

    /** A null [value] deletes the key. */
    private fun <T> record(
        key: String,
        serializer: KSerializer<T>,
        value: T?,
    ) = KeyedRecord(key, value?.let { RecordCodec.encode(serializer, it) })

    /** Handles the confirmation of the open batch. */
    fun stored() {
        openSince = null
        val ready = actionsAfterOpen
        actionsAfterOpen = emptyList()
        ready.forEach { it() }
    }
}
