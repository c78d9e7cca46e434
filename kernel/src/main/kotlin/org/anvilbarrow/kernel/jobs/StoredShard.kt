package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.KSerializer
import org.anvilbarrow.protocol.jobs.CrashRecord
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord

/** Prefixes of the record keys in a shard's topic. */
public object ShardKeyPrefixes {
    public const val SUBMISSION: String = "j/"
    public const val PROGRESS: String = "p/"

    /** Followed by the number of a group of finished jobs. */
    public const val FINISHED: String = "f/"
    public const val UPSTREAM: String = "u/"

    /** Owners of builds that do not know this prefix leave its records as they are. */
    public const val CRASHES: String = "c/"
}

/** Decodes the newest record of each key of a shard's topic; keys of malformed ones go to [onUnreadable]. */
public class StoredShard(
    private val values: Map<String, ByteArray>,
    private val onUnreadable: (key: String) -> Unit,
) {
    /** Returns the decoded records, jobs in order of acceptance. */
    public fun decode(): LoadedShard {
        val finished = finished()
        val ended = finished.values.flatMapTo(HashSet()) { group -> group.jobs.map { it.job.value } }
        val submissions = records(ShardKeyPrefixes.SUBMISSION, SubmissionRecord.serializer())
        val open = submissions.filterKeys { it !in ended }
        return LoadedShard(
            jobs(open).sortedBy { it.submission.acceptedAtEpochMillis }.toPersistentList(),
            records(ShardKeyPrefixes.UPSTREAM, UsedUpstreamRecord.serializer()).values.toPersistentList(),
            finished.toPersistentMap(),
            orphanedKeys = orphanedKeys(ended).toPersistentList(),
        )
    }

    private fun jobs(submissions: Map<String, SubmissionRecord>): List<LoadedJob> {
        val progress = parts(ShardKeyPrefixes.PROGRESS, ProgressRecord.serializer())
        val crashes = parts(ShardKeyPrefixes.CRASHES, CrashRecord.serializer())
        return submissions.map { (id, submission) ->
            val progressOfJob = progress[id]
            val crashesOfJob = crashes[id]
            LoadedJob(
                JobId(id),
                submission,
                progressOfJob?.run { ProgressRecord(records.flatMap { it.steps }) },
                crashesOfJob?.run { CrashRecord(records.flatMap { it.tasks }) },
                progressOfJob?.count ?: 0,
                crashesOfJob?.count ?: 0,
            )
        }
    }

    /** The readable records of one job and kind, and the number of their keys. */
    private class Parts<T>(
        val records: List<T>,
        val count: Int,
    )

    private fun <T> parts(
        prefix: String,
        serializer: KSerializer<T>,
    ): Map<String, Parts<T>> =
        records(prefix, serializer).entries.groupBy { JobRecords.jobOf(it.key) }.mapValues { (_, parts) ->
            Parts(parts.map { it.value }, parts.maxOf { JobRecords.partOf(it.key) } + 1)
        }

    /**
     * Returns the keys of records of jobs that have ended or do not exist.
     *
     * A call that ends a job stores it in a group before it deletes the other records, and may be divided there. What
     * belongs to a submission that cannot be decoded stays, as another build may read it.
     */
    private fun orphanedKeys(ended: Set<String>): List<String> {
        val open = jobsWith(ShardKeyPrefixes.SUBMISSION).keys - ended
        val orphaned = jobsWith(ShardKeyPrefixes.SUBMISSION).filterKeys { it in ended }.values.flatten()
        return orphaned +
            listOf(ShardKeyPrefixes.PROGRESS, ShardKeyPrefixes.CRASHES).flatMap { prefix ->
                jobsWith(prefix).filterKeys { it !in open }.values.flatten()
            }
    }

    /** Returns the keys that start with [prefix], by the id of their job. */
    private fun jobsWith(prefix: String): Map<String, List<String>> =
        values.keys.filter { it.startsWith(prefix) }.groupBy { JobRecords.jobOf(it.removePrefix(prefix)) }

    private fun finished(): Map<Long, FinishedJobsRecord> {
        val (numbered, others) =
            records(ShardKeyPrefixes.FINISHED, FinishedJobsRecord.serializer())
                .entries
                .partition { it.key.toLongOrNull() != null }
        others.forEach { onUnreadable(ShardKeyPrefixes.FINISHED + it.key) }
        return numbered.associate { it.key.toLong() to it.value }
    }

    private fun <T> records(
        prefix: String,
        serializer: KSerializer<T>,
    ): Map<String, T> {
        val decoded = LinkedHashMap<String, T>()
        values.filterKeys { it.startsWith(prefix) }.forEach { (key, bytes) ->
            val record = RecordCodec.decode(serializer, bytes)
            if (record == null) onUnreadable(key) else decoded[key.removePrefix(prefix)] = record
        }
        return decoded
    }
}
