package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import java.time.Duration
import java.time.Instant

/** Handles submissions, status queries and cancellations, and drives jobs to their end. */
internal class JobController(
    private val state: CellState,
    private val stopRuns: (StepRun) -> Unit,
) {
    private class PendingCall(
        val call: CallKey,
        val job: JobRun,
        val since: Instant,
    )

    private class DeferredSubmission(
        val call: CallKey,
        val request: JobRequest.Submit,
        val since: Instant,
    )

    private val pendingCalls = ArrayList<PendingCall>()

    /** Submissions that arrived before the configuration that says what their workspace may run. */
    private val deferred = ArrayList<DeferredSubmission>()
    private val latencies = JobLatencyRecorder(state)
    private val arrivals = WorkspaceArrivals()

    fun handle(
        call: CallKey,
        request: JobRequest,
    ) {
        when (request) {
            is JobRequest.Submit -> submit(call, request)
            is JobRequest.Status -> state.answer(call, status(request))
            is JobRequest.Cancel -> cancel(call, request)
            is JobRequest.Pending -> pending(call, request.queue)
        }
    }

    private fun submit(
        call: CallKey,
        request: JobRequest.Submit,
    ) {
        val known = state.jobs[request.job]
        val finished = state.finished[request.job]
        val queue = known?.queue ?: finished?.queue ?: request.queue
        when {
            queue != request.queue ->
                state.answer(call, JobAnswer.Invalid("job ${request.job} was handed in on another queue"))
            !isVisibleTo(request, if (known != null) known.workspace else finished?.workspace) ->
                state.answer(call, JobAnswer.Invalid("job id ${request.job} cannot be used"))
            known?.stored == true || (known == null && finished != null) -> state.answer(call, JobAnswer.Accepted)
            known != null -> awaitStored(call, known)
            else -> accept(call, request)
        }
    }

    private fun accept(
        call: CallKey,
        request: JobRequest.Submit,
    ) {
        if (request.workspace != null && state.config == null) return defer(call, request)
        val invalid = SubmissionCheck.problemOf(request) ?: limitProblemOf(request)
        if (invalid != null) {
            state.decided("submission-invalid", request.job, invalid)
            return state.answer(call, JobAnswer.Invalid(invalid))
        }
        if (state.journal.stalledFor(state.now) > state.limits.storeStallTimeout) {
            return refuse(call, request.job, "the store has not answered for ${state.journal.stalledFor(state.now)}")
        }
        if (state.jobs.size >= state.limits.maxOpenJobs) {
            return refuse(call, request.job, "${state.jobs.size} jobs are kept, which is the limit")
        }
        val job = JobRun(request.job, recordOf(request))
        job.expect { state.runTimes.expected(job.queue, it) }
        state.jobs[job.id] = job
        state.journal.submitted(job)
        openDueOccurrences(job)
        awaitStored(call, job)
    }

    private fun defer(
        call: CallKey,
        request: JobRequest.Submit,
    ) {
        if (deferred.size >= MAX_DEFERRED) return refuse(call, request.job, NO_CONFIGURATION)
        deferred += DeferredSubmission(call, request, state.now)
    }

    /** Decides on the submissions that waited for the configuration. */
    fun configured() {
        val waiting = deferred.toList()
        deferred.clear()
        waiting.forEach { submit(it.call, it.request) }
    }

    private fun refuseDeferred() {
        val overdue = deferred.filter { Duration.between(it.since, state.now) > state.limits.storeStallTimeout }
        deferred -= overdue.toSet()
        overdue.forEach { refuse(it.call, it.request.job, NO_CONFIGURATION) }
    }

    private fun recordOf(request: JobRequest.Submit): SubmissionRecord {
        val workspace = request.workspace?.let { state.config?.workspaces?.get(it) }
        return SubmissionRecord(
            request.queue,
            request.spec,
            state.now.toEpochMilli(),
            request.workspace,
            beyondShare = workspace != null && !arrivals.isWithinShare(workspace, state.limits.shards, state.now),
        )
    }

    private fun limitProblemOf(request: JobRequest.Submit): String? {
        val limit = request.workspace?.let { state.limitOf(it) } ?: return null
        return SubmissionCheck.limitProblemOf(request, limit)
    }

    /** Callers see the jobs of their own workspace and those that belong to none. */
    private fun isVisibleTo(
        request: JobRequest,
        workspace: String?,
    ): Boolean = workspace == null || request.workspace == null || workspace == request.workspace

    private fun refuse(
        call: CallKey,
        job: JobId,
        reason: String,
    ) {
        state.decided("submission-refused", job, reason)
        state.answer(call, JobAnswer.Refused(reason, state.limits.stallRetryAfter.toMillis()))
    }

    private fun awaitStored(
        call: CallKey,
        job: JobRun,
    ) {
        pendingCalls += PendingCall(call, job, state.now)
        state.journal.afterStored {
            if (!job.stored) {
                job.stored = true
                job.storedAt = state.now
                state.decided("job-accepted", job.id, "queue ${job.queue}, ${job.spec.steps.size} step(s)")
                state.dispatchNeeded = true
            }
            if (pendingCalls.removeIf { it.call == call }) state.answer(call, JobAnswer.Accepted)
        }
    }

    private fun status(request: JobRequest.Status): JobAnswer {
        val id = request.job
        val job = state.jobs[id]?.takeIf { it.queue == request.queue && isVisibleTo(request, it.workspace) }
        val finished = state.finished[id]?.takeIf { it.queue == request.queue && isVisibleTo(request, it.workspace) }
        return when {
            // A final phase is not reported before it is stored, as a successor would not know it.
            job != null && job.stored -> JobAnswer.State(if (job.isStarted) JobPhase.RUNNING else JobPhase.QUEUED)
            job == null && finished != null -> JobAnswer.State(finished.phase, finished.reason)
            else -> JobAnswer.NotFound
        }
    }

    private fun pending(
        call: CallKey,
        queue: String,
    ) {
        val count =
            PendingCount(
                state.jobs.values
                    .asSequence()
                    .filter { it.queue == queue },
            )
        state.answer(call, JobAnswer.Count(count.pending))
        state.decided("pending-counted", queue, detailOf(count, call))
    }

    private fun detailOf(
        count: PendingCount,
        call: CallKey,
    ): String {
        val age = count.oldestOrderAt?.let { Duration.between(it, state.now).toMillis() }
        val order = if (age == null) "no order under way" else "oldest order $age ms ago"
        return "count ${count.pending} of ${count.open} open jobs, " +
            "${count.unconfirmed} of them ordered without a confirmed start, $order, " +
            "token ${state.token}, call ${call.origin}/${call.number}"
    }

    private fun cancel(
        call: CallKey,
        request: JobRequest.Cancel,
    ) {
        val job =
            state.jobs[request.job]?.takeIf { it.queue == request.queue && isVisibleTo(request, it.workspace) }
        if (job == null) {
            val ended = state.finished[request.job]
            val isKnown = ended?.queue == request.queue && isVisibleTo(request, ended.workspace)
            return state.answer(call, if (isKnown) JobAnswer.Cancelled else JobAnswer.NotFound)
        }
        if (!job.phase.isFinal) {
            state.decided("job-cancelled", job.id, "requested by ${call.origin}")
            end(job, JobPhase.CANCELLED, "cancelled by its owner")
        }
        state.journal.afterStored { state.answer(call, JobAnswer.Cancelled) }
    }

    /** Opens the occurrences of [job] that are due, as many as may be open at a time. */
    fun openDueOccurrences(job: JobRun) {
        while (job.openedOccurrences < job.occurrences && !job.phase.isFinal) {
            val due = job.dueAt(job.openedOccurrences)
            if (job.spec.schedule != null && state.now.isBefore(due)) return
            if (job.openOccurrences >= SubmissionCheck.maxOpenOccurrences(job.spec)) return
            job.openOccurrence(job.openedOccurrences).forEach(::enqueueIfReady)
        }
    }

    /** Queues [step] for the dispatcher if its dependencies are done and it has waiting tasks. */
    fun enqueueIfReady(step: StepRun) {
        if (step.job.phase.isFinal || step.waiting.isEmpty || !step.dependenciesDone) return
        if (step.openedAt == null) step.openedAt = state.now
        if (state.ready.add(step)) state.dispatchNeeded = true
    }

    /** Handles the completion of a task of [step]. */
    fun taskDone(step: StepRun) {
        val job = step.job
        state.journal.changed(job)
        if (!step.isDone || job.phase.isFinal) return
        step.doneAt = state.now
        state.ready -= step
        job.steps.values
            .filter { it.ref.occurrence == step.ref.occurrence }
            .forEach(::enqueueIfReady)
        job.closeIfDone(step.ref.occurrence)
        openDueOccurrences(job)
        if (job.openedOccurrences == job.occurrences && job.steps.values.all { it.isDone }) {
            end(job, JobPhase.COMPLETED, null)
        }
    }

    fun fail(
        job: JobRun,
        reason: String,
    ) {
        state.decided("job-failed", job.id, reason)
        end(job, JobPhase.FAILED, reason)
    }

    /** The store refuses the record with [key]: its job cannot be kept, and must not hold up the others. */
    fun recordRefused(key: String) {
        val id = JobRecords.jobOfKey(key)
        state.decided("record-refused", id ?: key, "key $key")
        val job = state.jobs[id] ?: return
        if (job.stored) {
            if (!job.phase.isFinal) fail(job, "the store refuses a record of the job")
            return
        }
        withdraw(job)
        val calls = pendingCalls.filter { it.job === job }
        pendingCalls -= calls.toSet()
        calls.forEach { state.answer(it.call, JobAnswer.Invalid("the store refuses the record of the job")) }
    }

    /** Removes [job], which is not stored and has no runs. */
    private fun withdraw(job: JobRun) {
        state.journal.withdraw(job)
        job.phase = JobPhase.CANCELLED
        job.steps.values.forEach { state.ready -= it }
        state.jobs -= job.id
    }

    private fun end(
        job: JobRun,
        phase: JobPhase,
        reason: String?,
    ) {
        job.phase = phase
        job.reason = reason
        job.endedAt = state.now
        latencies.record(job)
        state.journal.changed(job)
        job.steps.values.forEach { step ->
            state.ready -= step
            if (phase != JobPhase.COMPLETED) stopRuns(step)
        }
    }

    /** Opens due occurrences, answers overdue callers, and drops finished jobs past their retention. */
    fun tick() {
        refuseDeferred()
        answerOverdue()
        state.journal.groupsExpired(state.finished.expireBefore(state.now.minus(state.limits.retention)))
        state.jobs.values.forEach(::openDueOccurrences)
    }

    /**
     * Answers callers whose submission is not stored in time.
     *
     * A submission that was not sent to the store is withdrawn, so it certainly never runs and can be refused. One that
     * was sent may still be stored, so its outcome is unknown.
     */
    private fun answerOverdue() {
        val overdue = pendingCalls.filter { Duration.between(it.since, state.now) > state.limits.storeAnswerTimeout }
        val stalled = state.journal.stalledFor(state.now) > state.limits.storeStallTimeout
        val unsent = pendingCalls.filter { stalled && state.journal.isUnsent(it.job) }
        unsent.forEach { caller ->
            withdraw(caller.job)
            refuse(caller.call, caller.job.id, "the store has not answered for ${state.limits.storeStallTimeout}")
        }
        (overdue - unsent.toSet()).forEach {
            state.answer(
                it.call,
                JobAnswer.Unknown("the store has not answered for ${state.limits.storeAnswerTimeout}"),
            )
        }
        pendingCalls.removeAll((overdue + unsent).toSet())
    }

    private companion object {
        /** Bounds the memory of waiting submissions, of 4 KB each on average. */
        const val MAX_DEFERRED = 2_000
        const val NO_CONFIGURATION = "the owner has not read the configuration yet"
    }
}
