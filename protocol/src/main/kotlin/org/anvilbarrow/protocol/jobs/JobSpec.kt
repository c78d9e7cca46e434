package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.Resources
import java.time.Duration

/** What a caller asks for: steps of tasks, and the payload that every task is started with. */
@Serializable
public data class JobSpec(
    val payload: String,
    val steps: List<StepSpec>,
    val schedule: JobSchedule? = null,
)

/** Runs the steps of a job several times; occurrences may overlap. */
@Serializable
public data class JobSchedule(
    val occurrences: Int,
    /** Due time of occurrence 0, in milliseconds since 1970. */
    val startAtEpochMillis: Long,
    val intervalMillis: Long,
) {
    /** Returns the due time of [occurrence], in milliseconds since 1970. */
    public fun dueAtEpochMillis(occurrence: Int): Long = startAtEpochMillis + occurrence * intervalMillis
}

/** Tasks that are alike and start once the steps in [dependsOn] are done. */
@Serializable
public data class StepSpec(
    val tasks: Int,
    val resources: Resources,
    /** A rough estimate by the caller of how long one task runs. */
    val estimatedMillis: Long = 0,
    /** Indexes of earlier steps. */
    val dependsOn: List<Int> = emptyList(),
    /** All tasks start together in one run, work only while all are present, and end together. */
    val gang: Boolean = false,
    /** The tasks are slower when they run on more than one rack. */
    val sameRack: Boolean = false,
    /** Label that an upstream must have. */
    val requiredLabel: String? = null,
    /** Rack of the data; tasks on other racks are slower. */
    val dataRack: String? = null,
    /** Most tasks of the step on one upstream; 0 for no limit. */
    val maxPerUpstream: Int = 0,
    /** Copies of a task may run in parallel. */
    val speculative: Boolean = false,
    /** The tasks run until the job is cancelled and are restarted however they end. */
    val longRunning: Boolean = false,
    /** The tasks save checkpoints from which a later run resumes. */
    val checkpoints: Boolean = false,
    /** The processors of the step are not counted against an upstream; it uses what others leave. */
    val usesSpareCapacity: Boolean = false,
    /** Tasks with the same image behave alike. */
    val image: String? = null,
    /** Bound of the tail latency of a task that serves users, in milliseconds; 0 for none. */
    val targetMillis: Long = 0,
    /** Tasks of a long-running step that may be down at one time through this system's actions. */
    @SerialName("mayBeDown") val maxUnavailable: Int = 0,
) {
    /** [estimatedMillis] as a duration that times can be calculated with, whatever the caller sent. */
    val estimate: Duration get() = Duration.ofMillis(estimatedMillis.coerceIn(0, LONGEST_ESTIMATE.toMillis()))

    private companion object {
        /** A job with a longer estimate is late in any case. */
        val LONGEST_ESTIMATE: Duration = Duration.ofDays(30)
    }
}
