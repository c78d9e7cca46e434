package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.protocol.upstream.RunningTask
import org.anvilbarrow.protocol.upstream.StartRefusal
import java.time.InstantSource

/**
 * The rules by which an upstream grants its lease and starts and stops tasks (assumptions A1 to A4 of the design page),
 * without HTTP or threads of its own.
 *
 * It never refuses a task for lack of capacity. [clock] is the upstream's own clock. All calls are thread-safe;
 * [onStopped] is called with the model locked for every task that is stopped before it ended by itself.
 *
 * ```
 * val upstream = UpstreamModel(UpstreamSettings(), incarnation = 1, clock)
 * val reply = upstream.lease(LeaseRequest(SchedulerId("lappi-a-1"), 1, epoch = 0, ttlMillis = 3_000))
 * val decision = upstream.start(instruction)
 * ```
 */
public class UpstreamModel(
    private val settings: UpstreamSettings,
    incarnation: Long,
    private val clock: InstantSource,
    private val onStopped: (TaskId) -> Unit = {},
) {
    private val audit = AuditBook(settings.capacity)
    private val running = LinkedHashMap<TaskId, Resources>()
    private val known = HashSet<TaskId>()
    private var committed = Resources.NONE
    private var term = LeaseTerm(settings.leaseTtl, clock.instant())
    private var usage = UsageHistory(settings.usageLag, settings.usagePercentOfDeclared)

    /** Differs after every restart. */
    @get:Synchronized
    public var incarnation: Long = incarnation
        private set

    /** True if lease replies say that this upstream is about to leave. */
    @get:Synchronized
    @set:Synchronized
    public var leaving: Boolean = false

    /** Grants, renews or denies the lease. */
    @Synchronized
    public fun lease(request: LeaseRequest): LeaseReply {
        stopOrphans()
        val now = clock.instant()
        return if (term.request(request, now)) {
            LeaseReply.Granted(
                epoch = term.epoch,
                upstreamIncarnation = incarnation,
                upstreamClockMillis = now.toEpochMilli(),
                running = running.map { (task, resources) -> RunningTask(task, resources) },
                leaving = leaving,
                usage = usage.report(now),
            )
        } else {
            LeaseReply.Denied(term.heldBy(now), term.unavailableFor(now).toMillis())
        }
    }

    /** Ends the lease if the release names the current one. */
    @Synchronized
    public fun release(release: LeaseRelease): Unit = term.release(release, clock.instant())

    /** Starts a task, or says why the instruction is not valid now. */
    @Synchronized
    public fun start(instruction: TaskInstruction): StartDecision {
        stopOrphans()
        val refusal = refusalOf(instruction)
        return if (refusal == null) {
            run(instruction)
            StartDecision.Started
        } else {
            audit.refused(refusal)
            StartDecision.Refused(refusal)
        }
    }

    /** Notes that [task] ended by itself; false if it was not running any more. */
    @Synchronized
    public fun finish(task: TaskId): Boolean = remove(task)

    /** Stops [task]; false if it is not running. */
    @Synchronized
    public fun stop(task: TaskId): Boolean = remove(task).also { if (it) onStopped(task) }

    /** Returns true if [task] has started and not ended. */
    @Synchronized
    public fun isRunning(task: TaskId): Boolean = task in running

    /**
     * Stops all tasks if no lease was held for the task TTL (A3).
     *
     * [lease] and [start] do this first; whoever drives the model calls it now and then besides.
     */
    @Synchronized
    public fun stopOrphans() {
        if (running.isNotEmpty() && term.unheldFor(clock.instant()) >= settings.taskTtl) {
            audit.orphansStopped(running.size)
            stopAll()
        }
    }

    /**
     * Restarts the upstream under [newIncarnation]: its tasks end, its lease and its epochs are forgotten, and it
     * grants nothing for one lease TTL. Only the audit goes on.
     */
    @Synchronized
    public fun restart(newIncarnation: Long) {
        require(newIncarnation != incarnation) { "incarnation $newIncarnation was used before" }
        stopAll()
        known.clear()
        incarnation = newIncarnation
        leaving = false
        term = LeaseTerm(settings.leaseTtl, clock.instant())
        usage = UsageHistory(settings.usageLag, settings.usagePercentOfDeclared)
    }

    /** Reports what happened so far, with the starts from index [fromStart] on. */
    @Synchronized
    public fun audit(fromStart: Int = 0): UpstreamAudit = audit.report(incarnation, fromStart)

    /** A known task is reported first, so that every other refusal means that the task never ran. */
    private fun refusalOf(instruction: TaskInstruction): StartRefusal? {
        val now = clock.instant()
        return when {
            instruction.upstreamIncarnation != incarnation -> StartRefusal.OTHER_INCARNATION
            instruction.task in known -> StartRefusal.TASK_KNOWN
            instruction.leaseEpoch != term.epoch -> StartRefusal.EPOCH_SUPERSEDED
            !term.isHeld(now) -> StartRefusal.LEASE_LAPSED
            now.toEpochMilli() >= instruction.startByUpstreamMillis -> StartRefusal.START_BY_PASSED
            else -> null
        }
    }

    private fun run(instruction: TaskInstruction) {
        val now = clock.instant()
        known += instruction.task
        running[instruction.task] = instruction.resources
        committed += instruction.resources
        usage.record(committed, now)
        val record =
            StartRecord(
                task = instruction.task,
                requestId = instruction.requestId,
                workload = instruction.workload,
                incarnation = incarnation,
                leaseEpoch = instruction.leaseEpoch,
                startedAtUpstreamMillis = now.toEpochMilli(),
            )
        audit.started(record, committed)
    }

    private fun remove(task: TaskId): Boolean {
        val resources = running.remove(task) ?: return false
        committed -= resources
        usage.record(committed, clock.instant())
        return true
    }

    private fun stopAll() = running.keys.toList().forEach(::stop)
}
