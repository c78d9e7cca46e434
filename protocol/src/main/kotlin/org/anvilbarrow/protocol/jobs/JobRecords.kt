package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.anvilbarrow.protocol.codec.decodeOrNull
import org.anvilbarrow.protocol.model.UpstreamId

/** State of a job as callers see it. */
@Serializable
public enum class JobPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED,
    ;

    /** True if nothing of the job will run any more. */
    public val isFinal: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}

/** Stored once for each accepted job. */
@Serializable
public data class SubmissionRecord(
    /** Name of the queue that the job was handed in on. */
    val queue: String,
    val spec: JobSpec,
    val acceptedAtEpochMillis: Long,
)

/** Stored whenever the progress of a job changed that has not ended. */
@Serializable
public data class ProgressRecord(
    val steps: List<StepProgress> = emptyList(),
)

/** What is stored of one step of one occurrence. */
@Serializable
public data class StepProgress(
    val occurrence: Int,
    val step: Int,
    /** Words of a bit set with one bit for each task that is done. */
    val done: LongArray = LongArray(0),
    /** Numbers of the failed runs by task; an end that is listed again after a takeover must not count twice. */
    val failures: Map<Int, Set<Long>> = emptyMap(),
    /** Newest checkpoint by task. */
    val checkpoints: Map<Int, String> = emptyMap(),
    /** True if a task of the step was ever started. */
    val begun: Boolean = false,
) {
    override fun equals(other: Any?): Boolean =
        other is StepProgress &&
            occurrence == other.occurrence &&
            step == other.step &&
            done.contentEquals(other.done) &&
            failures == other.failures &&
            checkpoints == other.checkpoints &&
            begun == other.begun

    override fun hashCode(): Int = (occurrence * HASH_FACTOR + step) * HASH_FACTOR + done.contentHashCode()

    private companion object {
        const val HASH_FACTOR = 31
    }
}

/** Stored for several finished jobs, so that a new owner reads one record for many jobs. */
@Serializable
public data class FinishedJobsRecord(
    val jobs: List<FinishedJob>,
)

/** What is kept of a finished job until callers can no longer ask for it. */
@Serializable
public data class FinishedJob(
    val job: JobId,
    /** Name of the queue that the job was handed in on. */
    val queue: String,
    val phase: JobPhase,
    val endedAtEpochMillis: Long,
    /** Reason of a phase that is not [JobPhase.COMPLETED]. */
    val reason: String? = null,
)

/** Stored for each upstream that may run tasks of a shard. */
@Serializable
public data class UsedUpstreamRecord(
    val upstream: UpstreamId,
    /** Address of its interface, as `host:port`. */
    val address: String,
    val region: String? = null,
)

/** The claim of one process to own a shard. */
@Serializable
public data class ClaimRecord(
    /** Address at which peers reach the owner, as `host:port`. */
    val address: String,
    /** Differs for every start of a process. */
    val incarnation: Long,
    /** Fencing token of the ownership; higher than that of every earlier one. */
    val token: Long,
    /** True if the owner gave the shard up, in a planned stop or to a process with more processors. */
    val released: Boolean = false,
    /** Most cores that a process is known to have had which claimed the shard, or was to claim it. */
    val mostCores: Double = 0.0,
)

/** CBOR encoding of stored records; unknown fields are ignored so that an older program reads newer records. */
@OptIn(ExperimentalSerializationApi::class)
public object RecordCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value]. */
    public fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** Decodes [bytes], or returns null if they do not hold such a record. */
    public fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T? = cbor.decodeOrNull(serializer, bytes)
}
