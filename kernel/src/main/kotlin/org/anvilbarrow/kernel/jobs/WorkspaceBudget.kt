package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.ResourceTotals
import org.anvilbarrow.protocol.model.Resources

/** What each workspace may start in one pass of the [Planner]. */
internal class WorkspaceBudget(
    /** Returns the part of its limit that a workspace does not use, or null if it has no limit. */
    private val unused: (workspace: String) -> ResourceTotals?,
) {
    private val remaining = HashMap<String, ResourceTotals?>()

    /** Returns how many tasks of [size] the workspace may start, at most [limit]. */
    fun fitCount(
        workspace: String?,
        size: Resources,
        limit: Int,
    ): Int = remainingOf(workspace)?.fitCount(size, limit) ?: limit

    /** Takes [count] tasks of [size] from what the workspace may start. */
    fun take(
        workspace: String?,
        size: Resources,
        count: Int,
    ) {
        val left = remainingOf(workspace) ?: return
        remaining[checkNotNull(workspace)] = left - ResourceTotals.of(size) * count
    }

    private fun remainingOf(workspace: String?): ResourceTotals? =
        workspace?.let { name -> remaining.getOrPut(name) { unused(name) } }

    companion object {
        /** No workspace has a limit. */
        val NO_LIMITS: WorkspaceBudget get() = WorkspaceBudget { null }
    }
}
