package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/** Keys of the shard's topic. */
public object JobKeys {
    public const val SUBMISSION: String = "j/"
    public const val PROGRESS: String = "p/"
    public const val UPSTREAM: String = "u/"
}

/**
 * Collects what has to be stored and what waits for it.
 *
 * One batch is open at a time. A change that is made while a batch is open goes into the next one, together with all
 * others until then.
 */
internal class Journal {
    private val submissions = LinkedHashSet<JobRun>()
    private val changed = LinkedHashSet<JobRun>()
    private val forgotten = LinkedHashSet<JobRun>()
    private val upstreams = LinkedHashMap<UpstreamId, UsedUpstreamRecord?>()
    private var afterNext = ArrayList<() -> Unit>()
    private var afterOpen: List<() -> Unit> = emptyList()
    private var openSince: Instant? = null

    fun submitted(job: JobRun) {
        submissions += job
    }

    fun changed(job: JobRun) {
        changed += job
    }

    fun forgotten(job: JobRun) {
        forgotten += job
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
        submissions.mapTo(records) {
            KeyedRecord(
                JobKeys.SUBMISSION + it.id,
                RecordCodec.encode(SubmissionRecord.serializer(), it.submission),
            )
        }
        changed.filter { it !in forgotten }.mapTo(records) { job ->
            val phase = job.phase
            afterNext += { job.storedPhase = phase }
            KeyedRecord(
                JobKeys.PROGRESS + job.id,
                RecordCodec.encode(ProgressRecord.serializer(), job.progress()),
            )
        }
        forgotten.forEach {
            records += KeyedRecord(JobKeys.PROGRESS + it.id, null)
            records += KeyedRecord(JobKeys.SUBMISSION + it.id, null)
        }
        upstreams.mapTo(records) { (id, record) ->
            KeyedRecord(
                JobKeys.UPSTREAM + id,
                record?.let { RecordCodec.encode(UsedUpstreamRecord.serializer(), it) },
            )
        }
        listOf(submissions, changed, forgotten).forEach { it.clear() }
        upstreams.clear()
        return records
    }

    /** The open batch is stored. */
    fun stored() {
        openSince = null
        val ready = afterOpen
        afterOpen = emptyList()
        ready.forEach { it() }
    }
}
