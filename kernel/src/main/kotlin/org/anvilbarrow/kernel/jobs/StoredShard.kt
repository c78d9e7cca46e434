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
        val crashes = records(ShardKeyPrefixes.CRASHES, CrashRecord.serializer())
        val jobs = jobs(crashes)
        return LoadedShard(
            jobs.sortedBy { it.submission.acceptedAtEpochMillis }.toPersistentList(),
            records(ShardKeyPrefixes.UPSTREAM, UsedUpstreamRecord.serializer()).values.toPersistentList(),
            finished().toPersistentMap(),
            orphanedCrashRecords =
                (crashes.keys - jobs.map { it.id.value }.toSet()).map(::JobId).toPersistentList(),
        )
    }

    private fun jobs(crashes: Map<String, CrashRecord>): List<LoadedJob> {
        val progress = records(ShardKeyPrefixes.PROGRESS, ProgressRecord.serializer())
        return records(ShardKeyPrefixes.SUBMISSION, SubmissionRecord.serializer())
            .map { (id, submission) -> LoadedJob(JobId(id), submission, progress[id], crashes[id]) }
    }

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
