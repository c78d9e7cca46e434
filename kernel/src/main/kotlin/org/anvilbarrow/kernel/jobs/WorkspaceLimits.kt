package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.ResourceTotals

/** Computes what workspaces may still start within their limits. */
internal class WorkspaceLimits(
    private val state: CellState,
    /** Returns the upstreams that may have runs of an earlier owner and have not been observed yet. */
    private val unobserved: () -> List<Upstream>,
) {
    /**
     * Returns the part of the limit of [workspace] that certainly no run uses, or null if the workspace has no limit.
     *
     * Runs of an earlier owner that were not observed yet count with the most that they can use, and while there are
     * runs of unknown size, nothing is left.
     */
    fun unused(workspace: String): ResourceTotals? {
        val limit = state.limitOf(workspace) ?: return null
        if (state.usage.hasUnknownRuns(workspace)) return ResourceTotals.NONE
        return limit - state.usage.usedBy(workspace) - unobservedUse(workspace)
    }

    /** Bounded by the tasks that an earlier owner may have started, and by the upstreams that they may run on. */
    private fun unobservedUse(workspace: String): ResourceTotals {
        val upstreams = unobserved()
        if (upstreams.isEmpty()) return ResourceTotals.NONE
        return least(unfinished(workspace), capacityOf(upstreams))
    }

    private fun capacityOf(upstreams: List<Upstream>): ResourceTotals {
        // The present capacity does not bound runs that started under a larger one.
        val largest = upstreams.map { it.largestCapacity ?: return ResourceTotals.UNLIMITED }
        return largest.fold(ResourceTotals.NONE) { sum, capacity -> sum + ResourceTotals.of(capacity) }
    }

    /** Includes steps with open dependencies: the ends of these may be known to the earlier owner only. */
    private fun unfinished(workspace: String): ResourceTotals =
        state.jobs.values
            .filter { it.blockedByTakeover && it.workspace == workspace }
            .flatMap { it.steps.values }
            .fold(ResourceTotals.NONE) { sum, step ->
                sum + ResourceTotals.of(step.spec.resources) * step.waiting.cardinality()
            }

    private fun least(
        first: ResourceTotals,
        second: ResourceTotals,
    ) = ResourceTotals(
        minOf(first.cpuMillicores, second.cpuMillicores),
        minOf(first.memoryMebibytes, second.memoryMebibytes),
        minOf(first.accelerators, second.accelerators),
    )
}
