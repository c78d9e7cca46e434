package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.ResourceTotals

/**
 * What the runs of each workspace use on all upstreams of a shard.
 *
 * A run counts from its start order until its end is certain. Confined to the control thread.
 */
internal class WorkspaceUsage {
    private val used = HashMap<String, ResourceTotals>()

    /** Number of runs of jobs that have ended, whose size is not known any more. */
    private val unknownRuns = HashMap<String, Int>()

    fun add(run: Run): Unit = count(run, 1)

    fun remove(run: Run): Unit = count(run, -1)

    private fun count(
        run: Run,
        change: Int,
    ) {
        val workspace = run.workspace ?: return
        val step = run.step
        if (step == null) {
            unknownRuns.merge(workspace, change, Int::plus)
        } else {
            used.merge(workspace, ResourceTotals.of(step.spec.resources) * change, ResourceTotals::plus)
        }
    }

    fun usedBy(workspace: String): ResourceTotals = used[workspace] ?: ResourceTotals.NONE

    /** True if runs of unknown size may use an unknown part of the limit of [workspace]. */
    fun hasUnknownRuns(workspace: String): Boolean = (unknownRuns[workspace] ?: 0) > 0
}
