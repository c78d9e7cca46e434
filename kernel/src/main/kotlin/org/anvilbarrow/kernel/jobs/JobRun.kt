package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.runtimes.TaskRunTime
import org.anvilbarrow.protocol.jobs.CrashRecord
import org.anvilbarrow.protocol.jobs.FinishedJob
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.StepProgress
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant
import java.util.BitSet

/** State of a job at the owner of its shard; confined to the control thread. */
internal class JobRun(
    val id: JobId,
    val submission: SubmissionRecord,
) {
    val spec: JobSpec get() = submission.spec
    val queue: String get() = submission.queue

    /** Workspace whose limit and share the job counts against, or null. */
    val workspace: String? get() = submission.workspace

    /** True if the workspace had handed in more jobs than it is entitled to. */
    val beyondShare: Boolean get() = submission.beyondShare
    val acceptedAt: Instant = Instant.ofEpochMilli(submission.acceptedAtEpochMillis)

    /** Phase as decided; callers see a final phase only once it is stored. */
    var phase: JobPhase = JobPhase.QUEUED
    var reason: String? = null
    var endedAt: Instant? = null

    /** True once the batch that contains the end of the job has been sent to the store. */
    var endHandedToStore = false

    /** True once the store has confirmed the submission. */
    var stored = false

    /** When the store confirmed the submission, or null for a job that an earlier owner accepted. */
    var storedAt: Instant? = null

    /** Number of records that the store holds of the job's progress, and of crashes under its tasks. */
    var progressParts = 0
    var crashParts = 0

    /** True while the job may have runs, started by an earlier owner, that this owner has not discovered yet. */
    var blockedByTakeover = false

    /** Steps of the occurrences that were opened and are not done, and of the last one that was opened. */
    val steps = LinkedHashMap<StepRef, StepRun>()
    val occurrences: Int = spec.schedule?.occurrences ?: 1

    /** Number of occurrences that were opened, in order of their due time. */
    var openedOccurrences = 0
        private set

    /** Number of opened occurrences that are not done. */
    val openOccurrences: Int
        get() = steps.size / spec.steps.size - (if (openedOccurrences > 0 && isDone(openedOccurrences - 1)) 1 else 0)

    /** Expected run time of a task of each step. */
    private var expectedTimes: List<Duration> = spec.steps.map { it.estimate }

    /** Critical path from each step on, from expected run times, in milliseconds. */
    private var criticalPathsFrom: LongArray = criticalPathsFrom()

    /** Expected run time along the longest chain of dependent steps. */
    val criticalPath: Duration get() = Duration.ofMillis(criticalPathsFrom.maxOrNull() ?: 0)

    /** Replaces the estimates of the caller by what [expected] returns for each. */
    fun expect(expected: (estimate: Duration) -> Duration) {
        expectedTimes = spec.steps.map { expected(it.estimate) }
        criticalPathsFrom = criticalPathsFrom()
    }

    /** Returns the expected run time of a task of [step] on an upstream of average speed. */
    fun expectedTime(step: Int): Duration = expectedTimes[step]

    /** Returns the critical path from [step] on, including it, in milliseconds. */
    fun remainingCriticalPath(step: Int): Long = criticalPathsFrom[step]

    /** True once an upstream has confirmed the start of a task, to this owner or an earlier one. */
    val isStarted: Boolean
        get() = hasDoneOccurrence || steps.values.any { it.isStarted }

    private val hasDoneOccurrence: Boolean get() = steps.size < openedOccurrences * spec.steps.size

    /** True once a start order for a task was decided, by this owner or an earlier one. */
    val isOrdered: Boolean get() = isStarted || steps.values.any { it.isOrdered }

    /** Due time of [occurrence], or the time of acceptance for a job without a schedule. */
    fun dueAt(occurrence: Int): Instant =
        spec.schedule?.let { Instant.ofEpochMilli(it.dueAtEpochMillis(occurrence)) } ?: acceptedAt

    /** Adds the steps of [occurrence], which is due. */
    fun openOccurrence(occurrence: Int): List<StepRun> {
        val earlierLast = openedOccurrences - 1
        openedOccurrences = maxOf(openedOccurrences, occurrence + 1)
        closeIfDone(earlierLast)
        return refs(occurrence).map { ref -> StepRun(this, ref).also { steps[ref] = it } }
    }

    /**
     * Drops the steps of [occurrence] if all are done, so that a job takes room for what is open only.
     *
     * The last opened occurrence stays: a successor, also one of an earlier build, takes all before it that are not
     * stored for done.
     */
    fun closeIfDone(occurrence: Int) {
        if (occurrence == openedOccurrences - 1 || !isDone(occurrence)) return
        refs(occurrence).forEach { steps -= it }
    }

    private fun isDone(occurrence: Int): Boolean = refs(occurrence).all { steps[it]?.isDone == true }

    private fun refs(occurrence: Int): List<StepRef> = spec.steps.indices.map { StepRef(id, occurrence, it) }

    fun progress(): List<ProgressRecord> = JobRecords.progress(steps.values.map { it.progress() })

    /** Returns the records of crashes under the job's tasks; none if there are no crashes. */
    fun crashRecords(): List<CrashRecord> = JobRecords.crashes(steps.values.flatMap { it.crashes.stored(it) })

    /** Returns the record that is retained after the job has ended. */
    fun finished(): FinishedJob =
        FinishedJob(
            id,
            queue,
            phase,
            checkNotNull(endedAt) { "job $id has not ended" }.toEpochMilli(),
            reason,
            workspace,
        )

    fun restore(record: ProgressRecord) {
        val opened =
            record.steps
                .map { it.occurrence }
                .distinct()
                .sorted()
        opened.forEach(::openOccurrence)
        record.steps.forEach { steps[StepRef(id, it.occurrence, it.step)]?.restore(it) }
        opened.forEach(::closeIfDone)
    }

    private fun criticalPathsFrom(): LongArray {
        val paths = LongArray(spec.steps.size)
        for (index in spec.steps.indices.reversed()) {
            paths[index] += expectedTimes[index].toMillis()
            spec.steps[index].dependsOn.forEach { paths[it] = maxOf(paths[it], paths[index]) }
        }
        return paths
    }
}

/** State of one step in one occurrence of a job; confined to the control thread. */
internal class StepRun(
    val job: JobRun,
    val ref: StepRef,
) {
    val spec = job.spec.steps[ref.step]
    val done = BitSet(spec.tasks)

    /** Tasks to start once [dependenciesDone]. */
    val waiting = BitSet(spec.tasks).apply { set(0, spec.tasks) }

    /** Current run of each task that has one. */
    val active = HashMap<Int, Run>()

    /** Superfluous runs that are being stopped; their tasks may not start until the end of these runs is confirmed. */
    val unwantedRuns = HashSet<Run>()

    /** Run numbers of the failed runs of each task. */
    val failures = HashMap<Int, Set<Long>>()
    val checkpoints = HashMap<Int, String>()

    /** Upstreams on which runs of the step failed. */
    val failedOn = HashSet<Upstream>()
    val crashes = StepCrashes()

    /** True once a start order for any task was decided, whether or not it reached an upstream. */
    var isOrdered = false

    /** True once an upstream has confirmed the start of any task: by its answer, or a listed run or end. */
    var isStarted = false
    val advice = StepAdvice()

    /** When this owner first saw the step ready, first started a task of it, and saw it done. */
    var openedAt: Instant? = null
    var placedAt: Instant? = null
    var doneAt: Instant? = null

    /** Number of runs that ended without completing their task. */
    var repeats = 0

    /** Number of runs of each task that were stopped for lack of progress. */
    val stuckRuns = HashMap<Int, Int>()

    /** Times of the runs that ended as done, until the step is done. */
    val runTimes = ArrayList<TaskRunTime>()

    /** Expected run time of a task on an upstream of average speed. */
    val expected: Duration get() = job.expectedTime(ref.step)

    val isDone: Boolean get() = done.cardinality() == spec.tasks

    /** True while waiting tasks are held back by the limit of the workspace. */
    var isLimited = false

    /** True once all steps that this one depends on are done. */
    val dependenciesDone: Boolean
        get() = spec.dependsOn.all { job.steps.getValue(StepRef(ref.job, ref.occurrence, it)).isDone }

    /** Returns the tasks that may start now; none of a gang while any member of an earlier run may exist. */
    fun startable(): List<Int> {
        if (spec.gang && (active.isNotEmpty() || unwantedRuns.isNotEmpty())) return emptyList()
        val tasks = ArrayList<Int>(waiting.cardinality())
        var next = waiting.nextSetBit(0)
        while (next >= 0) {
            if (unwantedRuns.none { it.task.index == next }) tasks += next
            next = waiting.nextSetBit(next + 1)
        }
        return tasks
    }

    fun countOn(upstream: Upstream): Int = active.values.count { it.upstream === upstream }

    fun progress() =
        StepProgress(
            ref.occurrence,
            ref.step,
            done.toLongArray(),
            HashMap(failures),
            HashMap(checkpoints),
            isOrdered,
            isStarted,
        )

    fun restore(progress: StepProgress) {
        done.or(BitSet.valueOf(progress.done))
        waiting.andNot(done)
        failures += progress.failures
        checkpoints += progress.checkpoints
        isOrdered = progress.isOrdered
        // Records of earlier builds show a start only by its results.
        isStarted = progress.isStarted || !done.isEmpty || failures.isNotEmpty() || checkpoints.isNotEmpty()
    }

    override fun toString(): String = ref.toString()
}

/** One attempt to run a task on an upstream; confined to the control thread. */
internal class Run(
    val task: TaskRef,
    val number: Long,
    val upstream: Upstream,
    /** Step of the task, or null if its job is unknown. */
    val step: StepRun?,
    val resources: Resources,
    /** Workspace that the run counts against, or null. */
    val workspace: String?,
) {
    enum class Status {
        /** The start order has no answer yet. */
        STARTING,

        /** The upstream has acknowledged the start or reported the run. */
        STARTED,

        /** The run must end; its resources stay reserved until its end is confirmed. */
        STOPPING,
    }

    var status = Status.STARTING
    var ticket: String? = null
    var checkpoint: String? = null
    var startedAt: Instant = Instant.MIN

    /** When the last answer about this run arrived; an observation sent later that lacks the run proves it absent. */
    var answeredAt: Instant? = null

    /** True if an unanswered start order may still take effect. */
    var mayStartLate = false
    var orderInFlight = false
    var startAttempts = 0
    var nextOrderAt: Instant = Instant.MIN

    /** When the last start order was sent. */
    var lastStartSentAt: Instant = Instant.MIN

    /** True if the upstream has confirmed that it received a start order. */
    var isStartAnswered = false

    /** True if the incarnation of the upstream that was observed last has listed the run. */
    var isObserved = false

    /** True if the last start order ended without an answer before its timeout. */
    var isConnectionBroken = false

    /** True while the upstream is asked whether it is alive, before the start order is sent. */
    var isCheckInFlight = false

    /** True if the upstream answered immediately before the last start order was sent. */
    var isUpstreamChecked = false
    var percent = 0
    var progressedAt: Instant = Instant.MIN

    /** True if the upstream reported the run for long enough after its start to rule out a crash by it. */
    var hasOutlastedProbation = false

    /** True once a crash is attributed to the run, which then only has to be confirmed as over. */
    var isCrashAttributed = false

    val isLongRunning: Boolean get() = step?.spec?.longRunning == true

    /** True if an upstream crashed, or may have crashed, under the task. */
    val isSuspect: Boolean get() = step?.crashes?.isSuspect(task.index) == true

    /** True unless no start order was sent. */
    val mayHaveStarted: Boolean get() = startAttempts > 0 || status != Status.STARTING

    /** True from the first start order until the upstream has answered one, or has accepted to stop the run. */
    val isStartOpen: Boolean get() = startAttempts > 0 && !isStartAnswered && answeredAt == null

    companion object {
        /** Value of [percent] when the task has finished its work. */
        const val COMPLETE_PERCENT = 100
    }
}

/** Answers of the advice service for one step. */
internal class StepAdvice {
    /** Number of the unanswered call, or null. */
    var call: Long? = null

    /** Number of answered calls, and when the first answer arrived. */
    var answers = 0
    var firstAnswerAt: Instant? = null

    /** Upstreams that answered calls have named. */
    val asked = HashSet<UpstreamId>()

    /** Upstreams that may run the step. */
    val allowed = HashSet<UpstreamId>()
    val tickets = HashMap<UpstreamId, String>()

    /** Time until which [tickets] may be used, already reduced by the safety margin. */
    var validUntil: Instant = Instant.MIN
    var retryAt: Instant = Instant.MIN

    /** Time until which tickets that lapse are not renewed. */
    var renewAt: Instant = Instant.MIN

    fun isFresh(now: Instant): Boolean = now.isBefore(validUntil)

    /**
     * Records an answer about the upstreams in [named] and returns true if it denies one that was allowed before.
     *
     * The service never revokes what it allows, so one of the two answers was about another step or upstream. All
     * upstreams are asked about again then.
     */
    fun record(
        named: Set<UpstreamId>,
        good: List<Ticket>,
    ): Boolean {
        answers++
        tickets.clear()
        good.associateTo(tickets) { it.upstream to it.value }
        val isRevoking = named.any { it in allowed && it !in tickets }
        if (isRevoking) {
            asked.clear()
            allowed.clear()
        }
        asked += named
        allowed += tickets.keys
        return isRevoking
    }
}
