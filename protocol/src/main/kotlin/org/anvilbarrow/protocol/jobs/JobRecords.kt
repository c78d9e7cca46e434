package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.anvilbarrow.protocol.codec.decodeOrNull
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId

/** State of a job as reported to callers. */
@Serializable
public enum class JobPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED,
    ;

    /** True if the job has ended and none of its tasks will run again. */
    public val isFinal: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}

/** Stored once per accepted job. */
@Serializable
public data class SubmissionRecord(
    /** Name of the queue that the job was submitted to. */
    val queue: String,
    val spec: JobSpec,
    val acceptedAtEpochMillis: Long,
    /** Workspace of the caller, or null if the queue needed no API key. */
    val workspace: String? = null,
    /** True if the workspace had handed in more jobs than it is entitled to. */
    val beyondShare: Boolean = false,
)

/** Stored whenever the progress of an unfinished job changes. */
@Serializable
public data class ProgressRecord(
    val steps: List<StepProgress> = emptyList(),
)

/** Stored progress of a step of one occurrence. */
@Serializable
public data class StepProgress(
    val occurrence: Int,
    val step: Int,
    /** Bit set of the completed tasks, as 64-bit words. */
    val done: LongArray = LongArray(0),
    /** Failed run numbers by task index, so that a failure listed again after a takeover is not counted twice. */
    val failures: Map<Int, Set<Long>> = emptyMap(),
    /** Newest checkpoint by task index. */
    val checkpoints: Map<Int, String> = emptyMap(),
    /** True once a start order for any task of the step was decided, whether or not it reached an upstream. */
    @SerialName("begun") val isOrdered: Boolean = false,
    /** True once an upstream has confirmed the start of any task of the step; not recorded by earlier builds. */
    @SerialName("started") val isStarted: Boolean = false,
) {
    override fun equals(other: Any?): Boolean =
        other is StepProgress &&
            occurrence == other.occurrence &&
            step == other.step &&
            done.contentEquals(other.done) &&
            failures == other.failures &&
            checkpoints == other.checkpoints &&
            isOrdered == other.isOrdered &&
            isStarted == other.isStarted

    override fun hashCode(): Int = (occurrence * HASH_FACTOR + step) * HASH_FACTOR + done.contentHashCode()

    private companion object {
        const val HASH_FACTOR = 31
    }
}

/** Batch of finished jobs, so that a new owner loads fewer records. */
@Serializable
public data class FinishedJobsRecord(
    val jobs: List<FinishedJob>,
)

/** Data of a finished job that is kept until its retention expires. */
@Serializable
public data class FinishedJob(
    val job: JobId,
    /** Name of the queue that the job was submitted to. */
    val queue: String,
    val phase: JobPhase,
    val endedAtEpochMillis: Long,
    /** Reason for a [phase] other than [JobPhase.COMPLETED]. */
    val reason: String? = null,
    /** Workspace that the job belonged to, or null. */
    val workspace: String? = null,
)

/** Stored for each upstream that may be running tasks of a shard. */
@Serializable
public data class UsedUpstreamRecord(
    val upstream: UpstreamId,
    /** Address of the upstream's API, as `host:port`. */
    val address: String,
    val region: String? = null,
    /** Largest capacity that an owner of the shard has seen, or null if it was not recorded. */
    val largestCapacity: Resources? = null,
)

/** Claim of ownership of a shard, or its renewal or release. */
@Serializable
public data class ClaimRecord(
    /** Address at which peers reach the owner, as `host:port`. */
    val address: String,
    /** Identifies one start of the process; changes with every restart. */
    val incarnation: Long,
    /** Fencing token; higher than those of all earlier claims of the shard. */
    val token: Long,
    /** True if the owner released the shard, for a planned shutdown or to a process with more cores. */
    val released: Boolean = false,
    /** Highest core count of all processes that have claimed the shard or were to take it over. */
    val mostCores: Double = 0.0,
)

/** CBOR encoding of stored records; ignores unknown fields so that older versions can read newer records. */
@OptIn(ExperimentalSerializationApi::class)
public object RecordCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    public fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** Decodes [bytes], or returns null if they are malformed. */
    public fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T? = cbor.decodeOrNull(serializer, bytes)
}
