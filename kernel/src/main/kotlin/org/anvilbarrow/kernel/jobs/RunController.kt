package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.EndedTask
import org.anvilbarrow.protocol.jobs.NotStartedReason
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.RunEnd
import org.anvilbarrow.protocol.jobs.RunningTask
import org.anvilbarrow.protocol.jobs.StartResult
import org.anvilbarrow.protocol.jobs.StopResult
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/** Starts and stops runs, and tracks their state from the answers and observations of upstreams. */
internal class RunController(
    private val state: CellState,
    private val leases: Leases,
    private val tasks: TaskOutcomes,
    private val relays: Relays,
    private val crashes: CrashTracker,
    private val learner: RunTimeLearner,
) {
    private val limits get() = state.limits
    private val suspectStarts = SuspectStarts()

    /** Starts task [index] of [step] on [upstream] as run [number]. */
    fun start(
        step: StepRun,
        index: Int,
        upstream: Upstream,
        number: Long,
    ) {
        val run =
            Run(TaskRef(step.ref, index), number, upstream, step, step.spec.countedResources(), step.job.workspace)
        run.ticket = step.advice.tickets[upstream.id]
        run.checkpoint = checkpointFor(step, index)
        run.startedAt = state.now
        run.progressedAt = state.now
        if (step.placedAt == null) step.placedAt = state.now
        step.waiting.clear(index)
        step.active[index] = run
        if (!step.isOrdered) {
            step.isOrdered = true
            state.journal.changed(step.job)
        }
        upstream.add(run)
        state.usage.add(run)
        if (step.crashes.recordsStart(index)) sendStartOnceRecorded(run, step) else sendStart(run, step)
    }

    /** A successor that does not know where a task started could not attribute a crash to it. */
    private fun sendStartOnceRecorded(
        run: Run,
        step: StepRun,
    ) {
        crashes.beginTrial(run)
        run.orderInFlight = true
        state.journal.afterStored {
            if (run.mayHaveStarted || run.upstream.runs[run.task] !== run) return@afterStored
            run.orderInFlight = false
            sendStart(run, step)
        }
    }

    /** All members of a gang resume from the same checkpoint. */
    private fun checkpointFor(
        step: StepRun,
        index: Int,
    ): String? =
        if (step.spec.gang) {
            step.checkpoints.entries
                .minByOrNull { it.key }
                ?.value
        } else {
            step.checkpoints[index]
        }

    /** Sends the start order of [run]; start orders are idempotent, so a repeated one has no further effect. */
    fun sendStart(
        run: Run,
        step: StepRun,
    ) {
        val upstream = run.upstream
        if (!relays.isReady(upstream)) return
        if (run.isSuspect && !run.isUpstreamChecked) {
            if (suspectStarts.mayBegin(upstream)) sendCheck(run)
            return
        }
        run.orderInFlight = true
        // The wait for the store and for the check of the upstream is no time without progress.
        if (run.startAttempts == 0) run.progressedAt = state.now
        run.startAttempts++
        run.lastStartSentAt = state.now
        if (run.isUpstreamChecked) crashes.trialAdvanced(run, CrashEvidence.LIKELY)
        relays.send(
            upstream,
            UpstreamOrder.Start(
                upstream = upstream.id,
                address = upstream.address,
                token = state.tokenFor(upstream),
                task = run.task,
                run = run.number,
                payload = step.job.spec.payload,
                leaseUntilMillis = leases.grant(upstream),
                checkpoint = run.checkpoint,
                ticket = run.ticket,
            ),
        )
    }

    /**
     * Asks the upstream whether it is alive, to tell a crash after an unanswered start order from one before it.
     *
     * The check stops all earlier runs of the task there, which has no effect unless one of them was started late.
     */
    private fun sendCheck(run: Run) {
        suspectStarts.begun(run)
        run.orderInFlight = true
        run.isCheckInFlight = true
        relays.send(run.upstream, stopOrder(run.upstream, run.task, run.number - 1))
    }

    private fun checkReturned(
        run: Run,
        order: UpstreamOrder.Stop,
        result: StopResult,
    ) {
        run.isCheckInFlight = false
        // A stop order is under way in the meantime.
        if (run.status != Run.Status.STARTING) return nextSuspect(run)
        run.orderInFlight = false
        run.nextOrderAt = state.now.plus(limits.orderRetry)
        when (result) {
            StopResult.ACCEPTED -> {
                run.isUpstreamChecked = relays.isReady(run.upstream)
                run.step?.takeIf { run.isUpstreamChecked }?.let { return sendStart(run, it) }
            }
            StopResult.DISPLACED if isFencedByThisOwner(order, run.upstream) -> Unit
            StopResult.DISPLACED -> state.displacedAt(order.upstream)
            StopResult.OTHER_UPSTREAM, StopResult.UNANSWERED -> {
                // Unusable until the next observe request succeeds.
                run.upstream.unanswered(timedOut = true)
                suspectStarts.ended(run)
                suspectStarts.unsent(run.upstream).forEach {
                    lost(it, "${run.upstream} did not answer before the start order")
                }
            }
        }
        nextSuspect(run)
    }

    /** The check or start order of [run], if it is a suspect, is answered or given up. */
    private fun nextSuspect(run: Run) {
        val next = suspectStarts.ended(run) ?: return
        next.step?.let { sendStart(next, it) }
    }

    fun startReturned(
        order: UpstreamOrder.Start,
        result: StartResult,
    ) {
        val run = currentRun(order.upstream, order.task, order.run) ?: return
        run.orderInFlight = false
        when (result) {
            StartResult.Started -> {
                run.mayStartLate = false
                run.step?.let(::recordStart)
                startAnswered(run)
            }
            StartResult.Displaced if isFencedByThisOwner(order, run.upstream) -> fenced(run)
            StartResult.Displaced -> state.displacedAt(order.upstream)
            is StartResult.NotStarted -> notStarted(run, result.reason)
            is StartResult.Unanswered -> unanswered(run, result.detail)
        }
        nextSuspect(run)
    }

    /** True if [order] was fenced by a later order of this owner, after a change of relay or a restart. */
    private fun isFencedByThisOwner(
        order: UpstreamOrder,
        upstream: Upstream,
    ): Boolean = order.token < state.tokenFor(upstream)

    /** The upstream has answered that it did nothing, so the order is no reason for a crash and may be repeated. */
    private fun fenced(run: Run) {
        run.startAttempts--
        run.isUpstreamChecked = false
        run.nextOrderAt = state.now.plus(limits.orderRetry)
        state.decided("start-fenced", run.task, "run ${run.number} on ${run.upstream}")
    }

    private fun unanswered(
        run: Run,
        detail: String,
    ) {
        run.mayStartLate = true
        run.isConnectionBroken = Duration.between(run.lastStartSentAt, state.now) < limits.shortestTimeout
        if (run.isConnectionBroken && run.isUpstreamChecked) crashes.trialAdvanced(run, CrashEvidence.PROVEN)
        run.nextOrderAt = state.now.plus(limits.orderRetry)
        state.decided("start-unanswered", run.task, "run ${run.number} on ${run.upstream}: $detail")
        // The order may have crashed the upstream, which the next one would do again after a restart.
        if (run.isSuspect || run.startAttempts >= limits.maxStartAttempts) stop(run)
    }

    private fun notStarted(
        run: Run,
        reason: NotStartedReason,
    ) {
        state.decided("start-rejected", run.task, "run ${run.number} on ${run.upstream}: $reason")
        when (reason) {
            // An earlier copy of the order may have started the run; the next observation shows whether it did.
            NotStartedReason.OLD -> return startAnswered(run)
            NotStartedReason.TICKET -> run.step?.advice?.validUntil = state.now
            NotStartedReason.UNHEALTHY -> run.upstream.failed(state.now, limits)
            else -> Unit
        }
        if (run.mayStartLate) stop(run) else lost(run, "not started: $reason")
    }

    /** A run that is being stopped stays unanswered until its stop order is, as only then the order is not repeated. */
    private fun startAnswered(run: Run) {
        run.isStartAnswered = true
        crashes.trialAdvanced(run, CrashEvidence.PROVEN)
        if (run.status != Run.Status.STARTING) return
        run.answeredAt = state.now
        run.status = Run.Status.STARTED
    }

    /** Callers are told that a job has started only from here on, as a start order may never reach its upstream. */
    private fun recordStart(step: StepRun) {
        if (step.isStarted) return
        // Callers see the job as a whole, so only its first start has to be stored at once.
        if (!step.job.isStarted) state.journal.changed(step.job)
        // An earlier owner may not have stored the order.
        step.isOrdered = true
        step.isStarted = true
    }

    /** Orders [run] to stop; its resources stay reserved until its end is confirmed. */
    fun stop(run: Run) {
        if (run.status == Run.Status.STOPPING) return
        run.status = Run.Status.STOPPING
        run.answeredAt = null
        sendStop(run)
    }

    /** Orders all runs of [step] to stop. */
    fun stopAll(step: StepRun) {
        step.active.values
            .toList()
            .forEach(::stop)
    }

    fun sendStop(run: Run) {
        if (!relays.isReady(run.upstream)) return
        run.orderInFlight = true
        relays.send(run.upstream, stopOrder(run.upstream, run.task, run.number))
    }

    private fun stopOrder(
        upstream: Upstream,
        task: TaskRef,
        number: Long,
    ) = UpstreamOrder.Stop(upstream.id, upstream.address, state.tokenFor(upstream), task, number)

    fun stopReturned(
        order: UpstreamOrder.Stop,
        result: StopResult,
    ) {
        val checked = currentRun(order.upstream, order.task, order.run + 1)?.takeIf { it.isCheckInFlight }
        if (checked != null) return checkReturned(checked, order, result)
        val run = currentRun(order.upstream, order.task, order.run) ?: return
        run.orderInFlight = false
        when (result) {
            StopResult.ACCEPTED -> {
                run.answeredAt = state.now
                run.mayStartLate = false
                // The resources are released only once the upstream reports the end of the run.
                run.upstream.nextObservationAt = state.now
            }
            StopResult.DISPLACED if isFencedByThisOwner(order, run.upstream) ->
                run.nextOrderAt = state.now.plus(limits.orderRetry)
            StopResult.DISPLACED -> state.displacedAt(order.upstream)
            StopResult.OTHER_UPSTREAM, StopResult.UNANSWERED -> run.nextOrderAt = state.now.plus(limits.orderRetry)
        }
    }

    private fun currentRun(
        upstream: UpstreamId,
        task: TaskRef,
        number: Long,
    ): Run? =
        state.upstreams[upstream]
            ?.runs
            ?.get(task)
            ?.takeIf { it.number == number }

    /** Applies an observation of [upstream]; runs answered before [sentAt] that it lacks no longer exist. */
    fun observed(
        upstream: Upstream,
        sentAt: Instant,
        seen: Observation.Seen,
    ) {
        seen.ended
            .filter { it.number > upstream.lastReceivedEnd }
            .sortedBy { it.number }
            .forEach { ended(upstream, it) }
        val listed = seen.running.associateBy { it.task to it.run }
        seen.running.forEach { running(upstream, it, sentAt) }
        val missing =
            upstream.runs.values.filter {
                (it.task to it.number) !in listed && it.answeredAt?.isBefore(sentAt) == true
            }
        // Nothing is known about the progress of omitted runs, so they do not count as stuck.
        if (seen.omitsRuns) return missing.forEach { it.progressedAt = state.now }
        missing.forEach { lost(it, "$upstream no longer reports it") }
    }

    /**
     * Ends the runs whose start order [upstream], which has restarted, may not have received in this incarnation.
     *
     * Runs that an earlier incarnation was told to stop are stopped again, as a late order may start them on this one.
     */
    fun restarted(upstream: Upstream) {
        upstream.runs.values.forEach {
            it.isObserved = false
            if (it.status == Run.Status.STOPPING) it.answeredAt = null
        }
        upstream.runs.values
            .filter { it.status == Run.Status.STARTING }
            // A repeated start order could crash the upstream once more without a new decision.
            .forEach { if (it.mayHaveStarted) stop(it) else lost(it, "$upstream restarted before the order was sent") }
    }

    private fun running(
        upstream: Upstream,
        row: RunningTask,
        sentAt: Instant,
    ) {
        tasks.stepOf(row.task)?.let(::recordStart)
        val run = upstream.runs[row.task]
        when {
            run == null -> adopt(upstream, row)
            run.number == row.run -> progressed(run, row, sentAt)
            // Another run of the task: the observation predates the current run, or a delayed order started an old one.
            else -> if (relays.isReady(upstream)) relays.send(upstream, stopOrder(upstream, row.task, row.run))
        }
    }

    private fun progressed(
        run: Run,
        row: RunningTask,
        sentAt: Instant,
    ) {
        run.mayStartLate = false
        run.isObserved = true
        startAnswered(run)
        checkProbation(run, sentAt)
        if (row.percent != run.percent) {
            run.percent = row.percent
            run.progressedAt = state.now
        }
        if (isKept(row.checkpoint)) run.step?.checkpoints?.put(run.task.index, row.checkpoint)
    }

    private fun checkProbation(
        run: Run,
        sentAt: Instant,
    ) {
        val lasted = Duration.between(run.answeredAt ?: return, sentAt)
        if (!run.hasOutlastedProbation && lasted >= limits.crashProbation) crashes.outlasted(run)
        val step = run.step?.takeIf { it.spec.longRunning } ?: return
        if (lasted >= limits.crashForgiveness) crashes.clear(step, run.task.index)
    }

    /** Adopts a run that an earlier owner or a delayed order started, or stops it if the task does not need it. */
    private fun adopt(
        upstream: Upstream,
        row: RunningTask,
    ) {
        val step = tasks.stepOf(row.task)
        val wanted = step != null && isWanted(step, row.task.index)
        val run =
            Run(
                row.task,
                row.run,
                upstream,
                step,
                step?.spec?.countedResources() ?: Resources.NONE,
                step?.job?.workspace ?: state.finished[row.task.step.job]?.workspace,
            ).apply {
                status = Run.Status.STARTED
                isStartAnswered = true
                isObserved = true
                answeredAt = state.now
                // The start time is unknown; it is approximated from the reported progress.
                startedAt =
                    state.now.minusMillis((step?.expected?.toMillis() ?: 0) * row.percent / Run.COMPLETE_PERCENT)
                progressedAt = state.now
                percent = row.percent
                hasOutlastedProbation = Duration.between(startedAt, state.now) >= limits.crashProbation
            }
        upstream.add(run)
        state.usage.add(run)
        crashes.found(run)
        state.decided("run-found", row.task, "run ${row.run} on $upstream, ${if (wanted) "adopted" else "stopped"}")
        if (wanted) {
            step.waiting.clear(row.task.index)
            step.active[row.task.index] = run
            if (step.waiting.isEmpty) state.ready -= step
        } else {
            step?.unwantedRuns?.add(run)
            stop(run)
        }
    }

    private fun isWanted(
        step: StepRun,
        index: Int,
    ): Boolean = !step.job.phase.isFinal && !step.done.get(index) && index !in step.active && isGangIntact(step)

    private fun isGangIntact(step: StepRun): Boolean =
        !step.spec.gang || step.active.values.none { it.status == Run.Status.STOPPING }

    private fun ended(
        upstream: Upstream,
        row: EndedTask,
    ) {
        upstream.lastReceivedEnd = row.number
        val run = upstream.runs[row.task]?.takeIf { it.number == row.run }
        val step = run?.step ?: tasks.stepOf(row.task)
        if (run != null && step != null && row.end == RunEnd.DONE) learner.ended(step, run)
        if (run != null) release(run)
        if (step == null) return
        recordStart(step)
        if (isKept(row.checkpoint) && !step.done.get(row.task.index)) {
            step.checkpoints[row.task.index] = row.checkpoint
            state.journal.changed(step.job)
        }
        tasks.ended(step, row, upstream)
    }

    /** Removes [run], which no longer exists and whose result will never be known, and requeues its task. */
    fun lost(
        run: Run,
        reason: String,
    ) {
        state.lostRuns++
        state.decided("run-lost", run.task, "run ${run.number} on ${run.upstream}, ${run.status}: $reason")
        release(run)
        run.step?.let { tasks.requeue(it, run.task.index) }
    }

    private fun release(run: Run) {
        run.upstream.remove(run)
        state.usage.remove(run)
        crashes.endTrial(run)
        run.step?.let { step ->
            if (step.active[run.task.index] === run) step.active -= run.task.index
            step.unwantedRuns -= run
        }
        nextSuspect(run)
        state.dispatchNeeded = true
    }

    /** A checkpoint that is left out costs repeated work, one that is too long could not be stored. */
    private fun isKept(checkpoint: String): Boolean = checkpoint.length in 1..MAX_CHECKPOINT_CHARS

    private companion object {
        const val MAX_CHECKPOINT_CHARS = 256
    }
}
