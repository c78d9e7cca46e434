package org.anvilbarrow.kernel.jobs

/**
 * Decides which tasks of a step may start while some are suspected of crashing upstreams.
 *
 * A step whose tasks all crash their upstreams would otherwise take down one upstream per task in each attempt.
 */
internal class CrashContainment(
    private val limits: CellLimits,
) {
    /** Returns those of [tasks], which are ready to start, that may start now. */
    fun startable(
        step: StepRun,
        tasks: List<Int>,
    ): List<Int> {
        val crashes = step.crashes
        if (crashes.isEmpty) return tasks
        val open = tasks.filter { !crashes.mayHaveReached(it, limits.maxCrashesOfPrimeSuspect) }
        return when {
            step.spec.gang -> if (open.size == tasks.size) tasks else emptyList()
            hasSurvivor(step) -> open
            step.active.values.any { crashes.isSuspect(it.task.index) } -> emptyList()
            else -> listOfNotNull(open.filter(crashes::isSuspect).maxByOrNull(crashes::possibleCount))
        }
    }

    /** True if a task of [step] has outlasted the probation or is done, so that not all of them crash upstreams. */
    private fun hasSurvivor(step: StepRun): Boolean =
        !step.done.isEmpty || step.active.values.any { it.hasOutlastedProbation }
}
