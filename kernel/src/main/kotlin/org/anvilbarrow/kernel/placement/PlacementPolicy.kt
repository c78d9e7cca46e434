package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Chooses upstreams for tasks.
 *
 * An implementation is pure: the same arguments always give the same choice, whatever the order of the candidates.
 * It is found by [java.util.ServiceLoader], which needs a public constructor without parameters and a line in
 * `META-INF/services/org.anvilbarrow.kernel.placement.PlacementPolicy`.
 */
public interface PlacementPolicy {
    /** Name by which a workload selects this policy. */
    public val name: String

    /** Returns the upstream for one task that needs [need], or null if the task fits on none of [candidates]. */
    public fun choose(
        need: Resources,
        candidates: List<Candidate>,
    ): UpstreamId?

    /**
     * Returns one upstream for each of [count] tasks that need [need] each, or null if they do not all fit together.
     *
     * An upstream is listed as often as it receives a task.
     */
    public fun chooseAll(
        need: Resources,
        count: Int,
        candidates: List<Candidate>,
    ): List<UpstreamId>? {
        val remaining = candidates.toMutableList()
        val chosen = ArrayList<UpstreamId>(count)
        repeat(count) {
            val upstream = choose(need, remaining) ?: return null
            val index = remaining.indexOfFirst { it.upstream == upstream }
            remaining[index] = remaining[index].withCommitted(need, 1)
            chosen += upstream
        }
        return chosen
    }
}
