package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.ResourceTotals
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSchedule
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources

/** Validates submissions: finds those that can never run, or whose values would overflow in calculations. */
public object SubmissionCheck {
    /** Messages between processes hold several payloads of this length. */
    private const val MAX_PAYLOAD_BYTES = 4_000
    private const val MAX_STEPS = 64
    private const val MAX_TASKS = 10_000
    private const val MAX_NAME_CHARS = 256
    private const val MAX_OCCURRENCES = 100_000

    /** Bounds of the occurrences of a job that are open at a time, which bound its memory and its record. */
    private const val MAX_OPEN_STEPS = 1_000
    private const val MAX_OPEN_TASKS = 20_000

    /** Encoded size of a job: messages between processes take 64 KiB, the store four times as much in a record. */
    private const val MAX_SPEC_BYTES = 56 * 1_024
    private const val STEP_BYTES = 300
    private const val BYTES_PER_CHAR = 3
    private const val BYTES_PER_NUMBER = 9

    /** End of the year 9999, in milliseconds since 1970; due times up to it do not overflow. */
    private const val MAX_TIME_MILLIS = 253_402_300_799_000L

    /** Returns a message that names the invalid field of [request], or null if [request] is valid. */
    public fun problemOf(request: JobRequest.Submit): String? {
        val steps = request.spec.steps
        val payloadBytes =
            request.spec.payload
                .encodeToByteArray()
                .size
        if (payloadBytes > MAX_PAYLOAD_BYTES) {
            return "payload has $payloadBytes bytes, the limit is $MAX_PAYLOAD_BYTES"
        }
        if (steps.isEmpty() ||
            steps.size > MAX_STEPS
        ) {
            return "steps has ${steps.size} entries, allowed: 1 to $MAX_STEPS"
        }
        val tasks = steps.sumOf { it.tasks.toLong() }
        if (tasks > MAX_TASKS) return "steps have $tasks tasks together, the limit is $MAX_TASKS"
        request.spec.schedule
            ?.let(::scheduleProblem)
            ?.let { return it }
        return steps.withIndex().firstNotNullOfOrNull { (index, step) ->
            stepProblem(index, step)?.let { "steps[$index].$it" }
        } ?: openProblem(request.spec) ?: sizeProblem(request.spec)
    }

    /** Returns how many occurrences of [spec] may be open at a time. */
    internal fun maxOpenOccurrences(spec: JobSpec): Int {
        val tasks = spec.steps.sumOf { it.tasks }.coerceAtLeast(1)
        return minOf(MAX_OPEN_STEPS / spec.steps.size, MAX_OPEN_TASKS / tasks).coerceAtLeast(1)
    }

    /** Occurrences with a long-running step never end by themselves, so all of them are open in the end. */
    private fun openProblem(spec: JobSpec): String? {
        val occurrences = spec.schedule?.occurrences ?: 1
        val limit = maxOpenOccurrences(spec)
        if (occurrences <= limit || spec.steps.none { it.longRunning }) return null
        return "occurrences is $occurrences, the limit for this job with long-running steps is $limit"
    }

    private fun sizeProblem(spec: JobSpec): String? {
        val atMost =
            spec.payload.length * BYTES_PER_CHAR +
                spec.steps.sumOf { step ->
                    STEP_BYTES + step.dependsOn.size * BYTES_PER_NUMBER +
                        names(step).sumOf { it.length * BYTES_PER_CHAR }
                }
        if (atMost <= MAX_SPEC_BYTES) return null
        val bytes = RecordCodec.encode(JobSpec.serializer(), spec).size
        return if (bytes <= MAX_SPEC_BYTES) null else "the job takes $bytes bytes, the limit is $MAX_SPEC_BYTES"
    }

    /** Returns a message that names a step of which no task, or no gang, can ever run within [limit], or null. */
    internal fun limitProblemOf(
        request: JobRequest.Submit,
        limit: ResourceTotals,
    ): String? =
        request.spec.steps.withIndex().firstNotNullOfOrNull { (index, step) ->
            val together = if (step.gang) step.tasks else 1
            if (limit.fitCount(step.resources, together) >= together) {
                null
            } else {
                "steps[$index] runs $together task(s) of ${step.resources} at once, above the workspace's $limit"
            }
        }

    private fun scheduleProblem(schedule: JobSchedule): String? {
        val occurrences = schedule.occurrences
        val longestInterval = MAX_TIME_MILLIS / occurrences.coerceAtLeast(1)
        return when {
            occurrences !in 1..MAX_OCCURRENCES -> "occurrences is $occurrences, allowed: 1 to $MAX_OCCURRENCES"
            schedule.startAtEpochMillis !in 0..MAX_TIME_MILLIS ->
                "startAt is ${schedule.startAtEpochMillis} ms, allowed: 0 to $MAX_TIME_MILLIS"
            schedule.intervalMillis !in 0..longestInterval ->
                "interval is ${schedule.intervalMillis} ms, allowed: 0 to $longestInterval"
            else -> null
        }
    }

    private fun stepProblem(
        index: Int,
        step: StepSpec,
    ): String? =
        when {
            step.tasks !in 1..MAX_TASKS -> "tasks is ${step.tasks}, allowed: 1 to $MAX_TASKS"
            step.dependsOn.size > MAX_STEPS ->
                "dependsOn has ${step.dependsOn.size} entries, the limit is $MAX_STEPS"
            step.dependsOn.any { it !in 0 until index } -> "dependsOn is ${step.dependsOn}, allowed: earlier steps only"
            step.estimatedMillis < 0 -> "estimatedMillis is ${step.estimatedMillis}, allowed: 0 and more"
            names(step).any { it.length > MAX_NAME_CHARS } ->
                "label, rack or image is longer than $MAX_NAME_CHARS characters"
            hasNegative(step.resources) -> "resources is ${step.resources}, allowed: 0 and more"
            else -> null
        }

    private fun names(step: StepSpec) = listOfNotNull(step.requiredLabel, step.dataRack, step.image)

    private fun hasNegative(resources: Resources) =
        resources.cpuMillicores < 0 || resources.memoryMebibytes < 0 || resources.accelerators < 0
}
