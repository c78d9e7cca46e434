package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.UpstreamIncarnation

/** Attributes crashes of upstreams to the tasks that ran there, and fails jobs whose tasks keep crashing them. */
internal class CrashTracker(
    private val state: CellState,
    private val jobs: JobController,
) {
    private class OpenCase(
        val step: StepRun,
        val index: Int,
        val incarnation: UpstreamIncarnation,
        val isPrimeSuspect: Boolean,
    )

    /** Runs whose upstream may have crashed, by upstream. */
    private val openCases = HashMap<Upstream, ArrayList<OpenCase>>()

    /** Loads the crashes under tasks of [job], and opens a case for each run whose start was recorded. */
    fun load(
        job: JobRun,
        loaded: LoadedJob,
    ) {
        job.steps.values.forEach { it.crashes.mayHaveMissedCrashes = it.begun }
        val record = loaded.crashes ?: return
        job.hasCrashRecord = true
        record.tasks.forEach { task ->
            val step = job.steps[task.task.step] ?: return@forEach
            val index = task.task.index
            if (index !in 0 until step.spec.tasks || step.done.get(index)) return@forEach
            step.crashes.restore(task)
            val trial = task.trial ?: return@forEach
            state.upstreams[trial.upstream]?.let { open(it, step, index, trial, isPrimeSuspect = false) }
        }
    }

    private fun open(
        upstream: Upstream,
        step: StepRun,
        index: Int,
        incarnation: UpstreamIncarnation,
        isPrimeSuspect: Boolean,
    ) {
        step.crashes.suspect(index, incarnation)
        openCases.getOrPut(upstream, ::ArrayList) += OpenCase(step, index, incarnation, isPrimeSuspect)
    }

    /** The start of [run] is to be stored. */
    fun beginTrial(run: Run) {
        val step = run.step ?: return
        val incarnation = incarnationOf(run.upstream) ?: return
        step.crashes.beginTrial(run.task.index, incarnation)
        if (step.crashes.isSuspect(run.task.index)) state.suspectRuns += run
        state.journal.crashesChanged(step.job)
    }

    /** [run] no longer exists; its upstream did not crash, or the crash is counted already. */
    fun endTrial(run: Run) {
        state.suspectRuns -= run
        val step = run.step ?: return
        if (step.crashes.endTrial(run.task.index)) state.journal.crashesChanged(step.job)
    }

    /** Settles the open cases of [upstream], which was seen in [incarnation]. Called before it takes effect there. */
    fun seen(
        upstream: Upstream,
        incarnation: Long,
    ) {
        val current = UpstreamIncarnation(upstream.id, incarnation)
        settle(upstream) { it == current }
        if (upstream.incarnation != null && upstream.incarnation != incarnation) attribute(upstream)
    }

    /** [upstream] is gone for good. */
    fun gone(upstream: Upstream) {
        settle(upstream) { false }
        attribute(upstream)
    }

    /** Settles the open cases of [upstream]: each is a crash, unless it [isAlive] or had announced that it leaves. */
    private fun settle(
        upstream: Upstream,
        isAlive: (UpstreamIncarnation) -> Boolean,
    ) {
        openCases.remove(upstream)?.forEach {
            if (isAlive(it.incarnation) || upstream.isLeaving) {
                it.step.crashes.rebut(it.index, it.incarnation)
                state.dispatchNeeded = true
            } else {
                crashedUnder(it.step, it.index, it.incarnation, it.isPrimeSuspect)
            }
        }
    }

    /** [upstream] has not answered until the leases of [runs] expired; it may have crashed or only been cut off. */
    fun silent(
        upstream: Upstream,
        runs: List<Run>,
    ) {
        val incarnation = incarnationOf(upstream) ?: return
        forEachSuspect(runs) { step, index, isPrime -> open(upstream, step, index, incarnation, isPrime) }
    }

    /** Counts a crash for each task that ran on [upstream], unless it had announced that it leaves. */
    private fun attribute(upstream: Upstream) {
        val incarnation = incarnationOf(upstream) ?: return
        if (upstream.isLeaving) return
        forEachSuspect(upstream.runs.values) { step, index, isPrime ->
            crashedUnder(step, index, incarnation, isPrime)
        }
    }

    private fun forEachSuspect(
        runs: Collection<Run>,
        action: (step: StepRun, index: Int, isPrimeSuspect: Boolean) -> Unit,
    ) {
        val affected = runs.filter { it.mayHaveStarted && !it.isCrashAttributed }
        affected.forEach { it.isCrashAttributed = true }
        val present = withoutLaterOrders(affected)
        // Decided before any crash is counted, as each count changes the comparison.
        val prime = present.filterTo(HashSet()) { isPrimeSuspect(it, present) }
        present.forEach { run -> run.step?.let { action(it, run.task.index, run in prime) } }
    }

    /** Of the orders that met a broken connection only the first may have reached the upstream, before it crashed. */
    private fun withoutLaterOrders(runs: List<Run>): List<Run> {
        val (broken, others) = runs.partition { !it.isStartAnswered && it.isConnectionBroken }
        // The upstream outlived the orders that were sent before its last observation.
        val open = broken.filter { it.upstream.seenAt?.isAfter(it.lastStartSentAt) != true }
        val first = open.minOfOrNull { it.lastStartSentAt }
        return others + open.filter { it.lastStartSentAt == first }
    }

    /** True if no run of another step in [present] is more likely than [run] to have crashed the upstream. */
    private fun isPrimeSuspect(
        run: Run,
        present: List<Run>,
    ): Boolean = present.none { it.step !== run.step && suspicion(it) > suspicion(run) }

    /** Runs that have outlasted the probation are less suspicious than any other, then earlier crashes count. */
    private fun suspicion(run: Run): Int {
        val crashes = run.step?.crashes?.confirmedCount(run.task.index) ?: 0
        return if (run.hasOutlastedProbation) crashes - state.limits.maxCrashes else crashes
    }

    private fun incarnationOf(upstream: Upstream): UpstreamIncarnation? =
        upstream.incarnation?.let { UpstreamIncarnation(upstream.id, it) }

    private fun crashedUnder(
        step: StepRun,
        index: Int,
        incarnation: UpstreamIncarnation,
        isPrimeSuspect: Boolean,
    ) {
        if (step.job.phase.isFinal || step.done.get(index)) return
        step.crashes.confirm(index, incarnation)
        state.journal.crashesChanged(step.job)
        val count = step.crashes.confirmedCount(index)
        state.decided("task-suspected", "$step.$index", "$incarnation crashed under it, $count crash(es)")
        if (count < if (isPrimeSuspect) state.limits.maxCrashesOfPrimeSuspect else state.limits.maxCrashes) return
        jobs.fail(step.job, "task $index of step ${step.ref.step} ran on $count upstreams that crashed")
    }

    /** [run] has lasted for [CellLimits.crashProbation]. */
    fun outlasted(run: Run) {
        run.hasOutlastedProbation = true
        val step = run.step ?: return
        state.suspectRuns -= run
        if (!step.crashes.isEmpty) state.dispatchNeeded = true
    }

    /** Forgets the crashes under task [index] of [step], which is done or has proved harmless. */
    fun clear(
        step: StepRun,
        index: Int,
    ) {
        if (step.crashes.clear(index)) state.journal.crashesChanged(step.job)
    }
}
