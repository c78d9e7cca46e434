package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Identifier of a durable job, chosen by the caller. */
@Serializable
@JvmInline
public value class JobId(
    public val value: String,
) : Comparable<JobId> {
    override fun compareTo(other: JobId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a step of one occurrence of a job; jobs without a schedule have only occurrence 0. */
@Serializable
public data class StepRef(
    val job: JobId,
    val occurrence: Int,
    val step: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step"
}

/** Identifies a task of a step; serialized in its text form, which lists of runs also use. */
@Serializable(with = TaskRefSerializer::class)
public data class TaskRef(
    val step: StepRef,
    val index: Int,
) {
    override fun toString(): String = "$step.$index"

    public companion object {
        private const val PARTS = 4

        /** Parses the text form `JOB.OCCURRENCE.STEP.INDEX`, or returns null if [text] is malformed. */
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
        return TaskRef.parse(text)
            ?: throw SerializationException("'$text' does not have the form JOB.OCCURRENCE.STEP.INDEX")
    }
}
