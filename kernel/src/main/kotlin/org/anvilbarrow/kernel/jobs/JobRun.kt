package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.FinishedJob
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.StepProgress
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant
import java.util.BitSet

/** A job at its owner; owned by the control thread. */
internal class JobRun(
    val id: JobId,
    val submission: SubmissionRecord,
) {
    val spec: JobSpec get() = submission.spec
    val queue: String get() = submission.queue
    val acceptedAt: Instant = Instant.ofEpochMilli(submission.acceptedAtEpochMillis)

    /** Phase as decided; callers see an end once it is stored. */
    var phase: JobPhase = JobPhase.QUEUED
    var reason: String? = null
    var endedAt: Instant? = null

    /** True once a batch with the end of the job was handed to the store. */
    var endHandedToStore = false

    /** True once the submission is on the store. */
    var stored = false

    /** When the submission was known to be stored, or null for a job that an earlier owner accepted. */
    var storedAt: Instant? = null

    /** True while runs of an earlier owner may exist that are not known yet. */
    var blockedByTakeover = false

    /** Steps of the occurrences that were due so far. */
    val steps = LinkedHashMap<StepRef, StepRun>()
    val occurrences: Int = spec.schedule?.occurrences ?: 1

    /** Number of occurrences whose steps are in [steps]. */
    var opened = 0

    /** Longest chain of estimated run times from each step on, in milliseconds. */
    private val chainsFrom: LongArray = chainsFrom(spec)

    /** Longest chain of estimated run times. */
    val criticalPath: Duration = Duration.ofMillis(chainsFrom.maxOrNull() ?: 0)

    /** Returns the longest chain of estimated run times from [step] on, in milliseconds. */
    fun remainingCriticalPath(step: Int): Long = chainsFrom[step]

    val begun: Boolean get() = steps.values.any { it.begun }

    /** Due time of [occurrence], or the time of acceptance for a job without schedule. */
    fun dueAt(occurrence: Int): Instant =
        spec.schedule?.let { Instant.ofEpochMilli(it.dueAtEpochMillis(occurrence)) } ?: acceptedAt

    fun open(occurrence: Int): List<StepRun> =
        spec.steps.indices
            .map { step -> StepRun(this, StepRef(id, occurrence, step)) }
            .onEach { steps[it.ref] = it }
            .also { opened = maxOf(opened, occurrence + 1) }

    fun progress(): ProgressRecord = ProgressRecord(steps.values.map { it.progress() })

    /** What is kept of the job, which has ended. */
    fun finished(): FinishedJob =
        FinishedJob(id, queue, phase, checkNotNull(endedAt) { "job $id has not ended" }.toEpochMilli(), reason)

    fun restore(record: ProgressRecord) {
        record.steps
            .map { it.occurrence }
            .distinct()
            .sorted()
            .forEach(::open)
        record.steps.forEach { steps[StepRef(id, it.occurrence, it.step)]?.restore(it) }
    }

    private companion object {
        fun chainsFrom(spec: JobSpec): LongArray {
            val chains = LongArray(spec.steps.size)
            for (index in spec.steps.indices.reversed()) {
                chains[index] += spec.steps[index].estimate.toMillis()
                spec.steps[index].dependsOn.forEach { chains[it] = maxOf(chains[it], chains[index]) }
            }
            return chains
        }
    }
}

/** One step of one occurrence of a job; owned by the control thread. */
internal class StepRun(
    val job: JobRun,
    val ref: StepRef,
) {
    val spec = job.spec.steps[ref.step]
    val done = BitSet(spec.tasks)

    /** Tasks that are to be started once the step is [open]. */
    val waiting = BitSet(spec.tasks).apply { set(0, spec.tasks) }

    /** Current run of each task that has one. */
    val active = HashMap<Int, Run>()

    /** Runs that are not wanted and not certainly gone yet; their tasks may not start. */
    val strays = HashSet<Run>()

    /** Numbers of the failed runs of each task. */
    val failures = HashMap<Int, Set<Long>>()
    val checkpoints = HashMap<Int, String>()

    /** Upstreams on which runs of the step failed. */
    val failedOn = HashSet<Upstream>()
    var begun = false
    val advice = StepAdvice()

    /** When this owner first saw the step open, started a task of it, and saw it done. */
    var openedAt: Instant? = null
    var placedAt: Instant? = null
    var doneAt: Instant? = null

    /** Runs that ended without completing their task. */
    var repeats = 0

    /** Runs of each task that were stopped because they did not progress. */
    val stuckRuns = HashMap<Int, Int>()

    val isDone: Boolean get() = done.cardinality() == spec.tasks

    /** True once all steps that this one depends on are done. */
    val open: Boolean
        get() = spec.dependsOn.all { job.steps.getValue(StepRef(ref.job, ref.occurrence, it)).isDone }

    /** Tasks that may be started now; a gang only when no member of an earlier run is left. */
    fun startable(): List<Int> {
        if (spec.gang && (active.isNotEmpty() || strays.isNotEmpty())) return emptyList()
        val tasks = ArrayList<Int>(waiting.cardinality())
        var next = waiting.nextSetBit(0)
        while (next >= 0) {
            if (strays.none { it.task.index == next }) tasks += next
            next = waiting.nextSetBit(next + 1)
        }
        return tasks
    }

    fun countOn(upstream: Upstream): Int = active.values.count { it.upstream === upstream }

    fun progress() =
        StepProgress(ref.occurrence, ref.step, done.toLongArray(), HashMap(failures), HashMap(checkpoints), begun)

    fun restore(progress: StepProgress) {
        done.or(BitSet.valueOf(progress.done))
        waiting.andNot(done)
        failures += progress.failures
        checkpoints += progress.checkpoints
        begun = progress.begun
    }

    override fun toString(): String = ref.toString()
}

/** One start of a task; owned by the control thread. */
internal class Run(
    val task: TaskRef,
    val number: Long,
    val upstream: Upstream,
    /** Step of the task, or null for a run that belongs to no known job. */
    val step: StepRun?,
    val resources: Resources,
) {
    enum class Status {
        /** The order to start was sent and has no answer yet. */
        STARTING,

        /** The upstream has answered, or lists the run. */
        STARTED,

        /** The run must end; its room is free once its end is certain. */
        STOPPING,
    }

    var status = Status.STARTING
    var ticket: String? = null
    var checkpoint: String? = null
    var startedAt: Instant = Instant.MIN

    /** When the last answer about this run arrived; later looks that do not list it show that it is not there. */
    var answeredAt: Instant? = null

    /** True if an order without an answer may still start the run. */
    var mayStartLate = false
    var orderInFlight = false
    var tries = 0
    var nextOrderAt: Instant = Instant.MIN
    var percent = 0
    var progressedAt: Instant = Instant.MIN

    companion object {
        /** Value of [percent] once all work is done. */
        const val COMPLETE_PERCENT = 100
    }
}

/** What the advice service said of a step. */
internal class StepAdvice {
    /** Call without an answer, or null. */
    var call: Long? = null

    /** Calls that were answered, and when the first one was. */
    var answers = 0
    var firstAnswerAt: Instant? = null

    /** Upstreams that were asked about. */
    val asked = HashSet<UpstreamId>()

    /** Upstreams that may run the step; the answer never changes. */
    val allowed = HashSet<UpstreamId>()
    val tickets = HashMap<UpstreamId, String>()

    /** End of the usable validity of [tickets]. */
    var validUntil: Instant = Instant.MIN
    var retryAt: Instant = Instant.MIN

    fun isFresh(now: Instant): Boolean = now.isBefore(validUntil)
}
