package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Identifies a durable job; chosen by the caller. */
@Serializable
@JvmInline
public value class JobId(
    public val value: String,
) : Comparable<JobId> {
    override fun compareTo(other: JobId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names one step of one occurrence of a job; jobs without a schedule have the occurrence 0 only. */
@Serializable
public data class StepRef(
    val job: JobId,
    val occurrence: Int,
    val step: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step"
}

/** Names one task of a step; encoded in its text form, which every row of a list of runs holds. */
@Serializable(with = TaskRefSerializer::class)
public data class TaskRef(
    val step: StepRef,
    val index: Int,
) {
    override fun toString(): String = "$step.$index"

    public companion object {
        private const val PARTS = 4

        /** Reads the text form `JOB.OCCURRENCE.STEP.INDEX`, or returns null. */
        public fun parse(text: String): TaskRef? {
            val parts = text.split('.')
            if (parts.size != PARTS) return null
            val numbers = parts.drop(1).map { it.toIntOrNull() ?: return null }
            return TaskRef(StepRef(JobId(parts[0]), numbers[0], numbers[1]), numbers[2])
        }
    }
}

internal object TaskRefSerializer : KSerializer<TaskRef> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("TaskRef", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: TaskRef,
    ): Unit = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): TaskRef {
        val text = decoder.decodeString()
        return TaskRef.parse(text) ?: throw SerializationException("'$text' names no task")
    }
}
