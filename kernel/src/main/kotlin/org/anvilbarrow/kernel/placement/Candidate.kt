package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId

/** An upstream that a task may be placed on, with its exact committed capacity. */
public data class Candidate(
    val upstream: UpstreamId,
    val capacity: Resources,
    /** Capacity that no grant and no running task has committed. */
    val free: Resources,
    val rack: String,
    val failureDomain: String,
    /** Tasks of all workloads that are committed on the upstream. */
    val running: Int,
    /** Tasks of the workload to be placed that are committed on the upstream. */
    val sameWorkload: Int,
)

/** Returns this candidate as it is after [count] more tasks that need [need] each were committed on it. */
internal fun Candidate.withCommitted(
    need: Resources,
    count: Int,
): Candidate = copy(free = free - need * count, running = running + count, sameWorkload = sameWorkload + count)
