package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.Resources
import java.time.Duration

/** Specification of a job: its steps, and the payload passed to every task. */
@Serializable
public data class JobSpec(
    val payload: String,
    val steps: List<StepSpec>,
    val schedule: JobSchedule? = null,
)

/** Runs a job at a fixed interval; occurrences may overlap. */
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

/** A set of identical tasks that start when all steps in [dependsOn] are complete. */
@Serializable
public data class StepSpec(
    val tasks: Int,
    val resources: Resources,
    /** The caller's rough estimate of the run time of one task. */
    val estimatedMillis: Long = 0,
    /** Indexes of earlier steps. */
    val dependsOn: List<Int> = emptyList(),
    /** The tasks start together as a gang, make progress only while all are running, and end together. */
    val gang: Boolean = false,
    /** The tasks run slower when they are spread over more than one rack. */
    val sameRack: Boolean = false,
    /** Label that an upstream must have to run the tasks. */
    val requiredLabel: String? = null,
    /** Rack that holds the input data; tasks run slower on other racks. */
    val dataRack: String? = null,
    /** Maximum number of tasks of the step on one upstream; 0 for no limit. */
    val maxPerUpstream: Int = 0,
    /** Allows speculative execution: several runs of a task may be active at the same time. */
    val speculative: Boolean = false,
    /** The tasks run until the job is cancelled and are restarted whenever they end. */
    val longRunning: Boolean = false,
    /** The tasks save checkpoints from which later runs resume. */
    val checkpoints: Boolean = false,
    /** The step uses spare CPU only; its CPU request is not counted against the capacity of an upstream. */
    val usesSpareCapacity: Boolean = false,
    /** Image that the tasks run; tasks with the same image behave alike. */
    val image: String? = null,
    /** Tail latency objective of a task that serves user requests, in milliseconds; 0 for none. */
    val targetMillis: Long = 0,
    /** Maximum number of tasks of a long-running step that the scheduler may take down at the same time. */
    @SerialName("mayBeDown") val maxUnavailable: Int = 0,
) {
    /** [estimatedMillis] clamped to a range that is safe in time calculations. */
    val estimate: Duration get() = Duration.ofMillis(estimatedMillis.coerceIn(0, LONGEST_ESTIMATE.toMillis()))

    private companion object {
        /** Longer estimates are clamped, as such a job is late in any case. */
        val LONGEST_ESTIMATE: Duration = Duration.ofDays(30)
    }
}
