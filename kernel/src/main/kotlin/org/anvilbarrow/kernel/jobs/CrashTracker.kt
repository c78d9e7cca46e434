package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.UpstreamIncarnation
import java.time.Instant

/** Attributes crashes of upstreams to the tasks that ran there, and fails jobs whose tasks keep crashing them. */
internal class CrashTracker(
    private val state: CellState,
    private val jobs: JobController,
) {
    private class OpenCase(
        val step: StepRun,
        val index: Int,
        val incarnation: UpstreamIncarnation,
        val evidence: CrashEvidence,
        /** Compares the task with others that ran there: the higher, the more likely the reason of a crash. */
        val suspicion: Int,
    )

    /** Runs whose upstream may have crashed, by upstream. */
    private val openCases = HashMap<Upstream, ArrayList<OpenCase>>()

    /** Loads the crashes under tasks of [job], and opens a case for each run whose start was recorded. */
    fun load(
        job: JobRun,
        loaded: LoadedJob,
    ) {
        job.steps.values.forEach { it.crashes.mayHaveMissedCrashes = it.isOrdered }
        val record = loaded.crashes ?: return
        record.tasks.forEach { task ->
            val step = job.steps[task.task.step] ?: return@forEach
            val index = task.task.index
            if (index !in 0 until step.spec.tasks || step.done.get(index)) return@forEach
            step.crashes.restore(task)
            val trial = task.trial ?: return@forEach
            state.upstreams[trial.upstream]?.let {
                val suspicion = step.crashes.crashCount(index)
                open(it, OpenCase(step, index, trial, StepCrashes.evidenceOfTrial(task), suspicion))
            }
        }
    }

    private fun open(
        upstream: Upstream,
        case: OpenCase,
    ) {
        case.step.crashes.suspect(case.index, case.incarnation)
        openCases.getOrPut(upstream, ::ArrayList) += case
    }

    /** The start of [run] is to be stored. */
    fun beginTrial(run: Run) {
        val step = run.step ?: return
        val incarnation = incarnationOf(run.upstream) ?: return
        step.crashes.beginTrial(run.task.index, incarnation)
        if (step.crashes.isSuspect(run.task.index)) state.suspectRuns += run
        state.journal.crashesChanged(step.job)
    }

    /** A crash of the upstream of [run] would count with [evidence] from now on, also for a successor. */
    fun trialAdvanced(
        run: Run,
        evidence: CrashEvidence,
    ) {
        val step = run.step ?: return
        if (step.crashes.trialAdvanced(run.task.index, evidence)) state.journal.crashesChanged(step.job)
    }

    /** [run] no longer exists; its upstream did not crash, or the crash is counted already. */
    fun endTrial(run: Run) {
        state.suspectRuns -= run
        val step = run.step ?: return
        if (step.crashes.endTrial(run.task.index)) state.journal.crashesChanged(step.job)
    }

    /**
     * Settles the open cases of [upstream], which was [seen] by a request sent at [sentAt].
     *
     * Called before a new incarnation takes effect there. Runs that the new incarnation lists, or may have received
     * since, did not exist when the earlier one crashed.
     */
    fun seen(
        upstream: Upstream,
        sentAt: Instant,
        seen: Observation.Seen,
    ) {
        val current = UpstreamIncarnation(upstream.id, seen.incarnation)
        settle(upstream) { it == current }
        if (upstream.incarnation == null || upstream.incarnation == seen.incarnation) return
        val listed = seen.running.mapTo(HashSet()) { it.run to it.task }
        seen.ended.mapTo(listed) { it.run to it.task }
        attribute(upstream) { (it.number to it.task) !in listed && it.lastStartSentAt.isBefore(sentAt) }
    }

    /** [upstream] is gone for good. */
    fun gone(upstream: Upstream) {
        settle(upstream) { false }
        attribute(upstream) { true }
    }

    /** Settles the open cases of [upstream]: each is a crash, unless it [isAlive] or had announced that it leaves. */
    private fun settle(
        upstream: Upstream,
        isAlive: (UpstreamIncarnation) -> Boolean,
    ) {
        val cases = openCases.remove(upstream).orEmpty()
        val (over, crashed) = cases.partition { isAlive(it.incarnation) || upstream.isLeaving }
        over.forEach { it.step.crashes.rebut(it.index, it.incarnation) }
        if (over.isNotEmpty()) state.dispatchNeeded = true
        crashed.groupBy { it.incarnation }.values.forEach(::crashedUnder)
    }

    /** [upstream] has not answered until the leases of [runs] expired; it may have crashed or only been cut off. */
    fun silent(
        upstream: Upstream,
        runs: List<Run>,
    ) {
        casesOf(upstream, runs).forEach { open(upstream, it) }
    }

    /** Counts a crash for each task that [mayHaveRun] on [upstream], unless it had announced that it leaves. */
    private fun attribute(
        upstream: Upstream,
        mayHaveRun: (Run) -> Boolean,
    ) {
        if (upstream.isLeaving) return
        crashedUnder(casesOf(upstream, upstream.runs.values.filter(mayHaveRun)))
    }

    private fun casesOf(
        upstream: Upstream,
        runs: Collection<Run>,
    ): List<OpenCase> {
        val incarnation = incarnationOf(upstream) ?: return emptyList()
        val affected = runs.filter { (it.isStartAnswered || it.startAttempts > 0) && !it.isCrashAttributed }
        affected.forEach { it.isCrashAttributed = true }
        val present = withoutLaterOrders(affected)
        return present.mapNotNull { run ->
            run.step?.let { OpenCase(it, run.task.index, incarnation, evidenceOf(run, it, present), suspicion(run)) }
        }
    }

    /**
     * Returns how certain it is that [run] of [step] existed on its upstream when that crashed.
     *
     * An order without an answer counts only if no earlier one in [present] can have crashed the upstream. One that
     * timed out may have met an upstream that was down already, or may have been late, so the upstream must have
     * answered immediately before it. A run on an upstream that fell silent may have ended unseen before the crash,
     * unless it is long-running.
     */
    private fun evidenceOf(
        run: Run,
        step: StepRun,
        present: List<Run>,
    ): CrashEvidence =
        when {
            run.isStartAnswered && run.upstream.fellSilent && !step.spec.longRunning -> CrashEvidence.LIKELY
            run.isStartAnswered -> CrashEvidence.PROVEN
            hasOutlived(run) || present.any { isEarlierUnanswered(it, run) } -> CrashEvidence.NONE
            run.isConnectionBroken -> CrashEvidence.PROVEN
            run.isUpstreamChecked -> CrashEvidence.LIKELY
            else -> CrashEvidence.NONE
        }

    /** Of the orders for one step that were sent together, the one for the lowest index is the earliest. */
    private fun isEarlierUnanswered(
        other: Run,
        run: Run,
    ): Boolean =
        when {
            other === run || !other.isStartOpen || other.lastStartSentAt.isAfter(run.lastStartSentAt) -> false
            other.lastStartSentAt == run.lastStartSentAt && other.step === run.step -> other.task.index < run.task.index
            else -> true
        }

    /** True if the upstream was observed after the start order of [run] was sent. */
    private fun hasOutlived(run: Run): Boolean = run.upstream.seenAt?.isAfter(run.lastStartSentAt) == true

    /** Of the orders that met a broken connection only the first may have reached the upstream, before it crashed. */
    private fun withoutLaterOrders(runs: List<Run>): List<Run> {
        val (broken, others) = runs.partition { !it.isStartAnswered && it.isConnectionBroken }
        val open = broken.filter { !hasOutlived(it) }
        val first = open.minOfOrNull { it.lastStartSentAt }
        return others + open.filter { it.lastStartSentAt == first }
    }

    /** True if no task of another step in [cases] is as likely as that of [case] to have crashed the upstream. */
    private fun isPrimeSuspect(
        case: OpenCase,
        cases: List<OpenCase>,
    ): Boolean = cases.none { it.step !== case.step && it.suspicion >= case.suspicion }

    /** Runs that have outlasted the probation are less suspicious than any other, then earlier crashes count. */
    private fun suspicion(run: Run): Int {
        val crashes = run.step?.crashes?.crashCount(run.task.index) ?: 0
        return if (run.hasOutlastedProbation) crashes - state.limits.maxCrashes else crashes
    }

    private fun incarnationOf(upstream: Upstream): UpstreamIncarnation? =
        upstream.incarnation?.let { UpstreamIncarnation(upstream.id, it) }

    /** Counts the crash of one incarnation for the tasks in [cases]. */
    private fun crashedUnder(cases: List<OpenCase>) {
        val prime = cases.filterTo(HashSet()) { isPrimeSuspect(it, cases) }
        cases.forEach { crashedUnder(it, isPrimeSuspect = it in prime) }
    }

    /** Counts a crash, and fails the job once there are enough; crashes without evidence never fail it. */
    private fun crashedUnder(
        case: OpenCase,
        isPrimeSuspect: Boolean,
    ) {
        val step = case.step
        val index = case.index
        if (step.job.phase.isFinal || step.done.get(index)) return
        step.crashes.crashed(index, case.incarnation, case.evidence)
        state.journal.crashesChanged(step.job)
        state.dispatchNeeded = true
        val count = step.crashes.crashCount(index)
        val proven = step.crashes.crashCount(index, CrashEvidence.PROVEN)
        val likely = step.crashes.crashCount(index, CrashEvidence.LIKELY)
        state.decided(
            "task-suspected",
            "$step.$index",
            "${case.incarnation} crashed under it, evidence ${case.evidence}, $count crash(es), $proven proven",
        )
        val limit = if (isPrimeSuspect) state.limits.maxCrashesOfPrimeSuspect else state.limits.maxCrashes
        if (proven < limit && likely < state.limits.maxCrashes) return
        jobs.fail(step.job, "task $index of step ${step.ref.step} ran on $likely upstreams that crashed")
    }

    /** [run] of an earlier owner was found; it may be on probation. */
    fun found(run: Run) {
        if (run.isSuspect && !run.hasOutlastedProbation) state.suspectRuns += run
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
