package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.UpstreamId

/** Stored for each unfinished job with tasks under which upstreams crashed. */
@Serializable
public data class CrashRecord(
    val tasks: List<TaskCrashes> = emptyList(),
)

/** Crashes of upstreams under one task. */
@Serializable
public data class TaskCrashes(
    val task: TaskRef,
    /** Incarnations that crashed while they ran the task. */
    val crashed: Set<UpstreamIncarnation> = emptySet(),
    /** Incarnation on which the latest run of the task was to start, or null if that run has ended. */
    val trial: UpstreamIncarnation? = null,
    /** Incarnations that crashed after they fell silent with the task, or had answered right before its start order. */
    val likely: Set<UpstreamIncarnation> = emptySet(),
    /** Incarnations that crashed, but may never have received the order to start the task. */
    val unproven: Set<UpstreamIncarnation> = emptySet(),
    /** True if a crash of the upstream of [trial] counts as one of [crashed]. */
    val trialProven: Boolean = false,
    /** True if a crash of the upstream of [trial] counts as one of [likely]. */
    val trialLikely: Boolean = false,
)

/** One incarnation of an upstream, from a start of its process to its end. */
@Serializable
public data class UpstreamIncarnation(
    val upstream: UpstreamId,
    /** Start time that the upstream reports, in milliseconds since 1970. */
    val startedAtEpochMillis: Long,
) {
    override fun toString(): String = "$upstream/$startedAtEpochMillis"
}
