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
    private val orphanedKeys = LinkedHashSet<String>()
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

    /** Marks records of jobs that do not exist any more for deletion. */
    fun orphaned(keys: Collection<String>) {
        orphanedKeys += keys
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
        if (isDrained()) {
            actionsAfterOpen = actionsAfterNext
            actionsAfterNext = ArrayList()
        }
        openSince = now
        return records
    }

    /** False if changes are left for a further batch; the actions then wait for that one. */
    private fun isDrained(): Boolean =
        listOf(submissions, changed, crashesChanged, orphanedKeys, expiredGroups, upstreams.keys).all { it.isEmpty() }

    /** Takes changes until they fill a call to the store. All changes of a job and kind go into the same call. */
    private fun takeRecords(): List<KeyedRecord> {
        val batch = Batch()
        val ended = changed.filter { it.phase.isFinal }.take(MAX_ENDED_JOBS)
        changed -= ended.toSet()
        submissions -= ended.toSet()
        batch += endRecords(ended)
        batch.take(submissions) { listOf(record(ShardKeyPrefixes.SUBMISSION + it.id, SUBMISSIONS, it.submission)) }
        batch.take(changed, { !it.phase.isFinal }, ::progressRecords)
        batch.take(crashesChanged) { if (it.phase.isFinal) emptyList() else crashRecords(it) }
        batch.take(upstreams.entries) { (id, used) ->
            listOf(record(ShardKeyPrefixes.UPSTREAM + id, UPSTREAMS, used))
        }
        batch.take(orphanedKeys) { listOf(KeyedRecord(it, null)) }
        return batch.records
    }

    private class Batch {
        val records = ArrayList<KeyedRecord>()
        private var bytes = 0

        operator fun plusAssign(more: List<KeyedRecord>) {
            records += more
            bytes += more.sumOf { it.key.length + (it.value?.size ?: 0) + FRAME_BYTES }
        }

        /** Moves [recordsOf] the first of [items] here, those that are [included], until the call is full. */
        fun <T> take(
            items: MutableSet<T>,
            included: (T) -> Boolean = { true },
            recordsOf: (T) -> List<KeyedRecord>,
        ) {
            val remaining = items.iterator()
            while (bytes < MAX_BYTES && remaining.hasNext()) {
                val item = remaining.next()
                if (!included(item)) continue
                this += recordsOf(item)
                remaining.remove()
            }
        }
    }

    private fun progressRecords(job: JobRun): List<KeyedRecord> {
        val parts = job.progress()
        return parts(ShardKeyPrefixes.PROGRESS, job.id, parts, PROGRESS, job.progressParts)
            .also { job.progressParts = parts.size }
    }

    private fun crashRecords(job: JobRun): List<KeyedRecord> {
        val parts = job.crashRecords()
        return parts(ShardKeyPrefixes.CRASHES, job.id, parts, CRASHES, job.crashParts)
            .also { job.crashParts = parts.size }
    }

    /** Returns [parts], and the deletion of those that were stored beyond them. */
    private fun <T> parts(
        prefix: String,
        job: JobId,
        parts: List<T>,
        serializer: KSerializer<T>,
        storedParts: Int,
    ): List<KeyedRecord> =
        List(maxOf(parts.size, storedParts)) { part ->
            record(JobRecords.key(prefix, job, part), serializer, parts.getOrNull(part))
        }

    /** Stores the jobs that [ended] in groups, and deletes their own records. */
    private fun endRecords(ended: List<JobRun>): List<KeyedRecord> {
        val groups = finished.add(ended.map { it.finished() }) + expiredGroups
        expiredGroups.clear()
        val records = ArrayList<KeyedRecord>()
        groups.mapTo(records) { record(ShardKeyPrefixes.FINISHED + it, GROUPS, finished.recordOf(it)) }
        ended.forEach { job ->
            job.endHandedToStore = true
            // A successor that finds the group and the submission takes the job for ended.
            records += parts(ShardKeyPrefixes.PROGRESS, job.id, emptyList(), PROGRESS, maxOf(1, job.progressParts))
            records += parts(ShardKeyPrefixes.CRASHES, job.id, emptyList(), CRASHES, job.crashParts)
            records += KeyedRecord(ShardKeyPrefixes.SUBMISSION + job.id, null)
            actionsAfterNext += { onFinished(job) }
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

    private companion object {
        /** Bytes after which a call takes no further job: half of what the store accepts, as one job may exceed it. */
        const val MAX_BYTES = 1_024 * 1_024

        /** Length of a record and of its key in a call. */
        const val FRAME_BYTES = 5

        /** Ended jobs in a call; each takes about 200 bytes with its share of a group. */
        const val MAX_ENDED_JOBS = 2_000

        val SUBMISSIONS = SubmissionRecord.serializer()
        val PROGRESS = ProgressRecord.serializer()
        val CRASHES = CrashRecord.serializer()
        val GROUPS = FinishedJobsRecord.serializer()
        val UPSTREAMS = UsedUpstreamRecord.serializer()
    }
}
