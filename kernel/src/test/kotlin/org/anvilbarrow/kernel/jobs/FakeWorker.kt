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

/**
 * A fake upstream with fencing, leases, and ends that are kept until they are acknowledged.
 *
 * It starts tasks beyond its capacity, so that overcommitment by the owner shows up.
 */
internal class FakeWorker(
    val id: UpstreamId,
    capacity: Resources,
    private val world: JobWorld,
) {
    var capacity = capacity
        private set

    class Execution(
        val task: TaskRef,
        val run: Long,
        val startedAt: Instant,
        val endsAt: Instant,
        val size: Resources,
    ) {
        var stopsAt: Instant? = null
    }

    var incarnation = 1L
    var listed = true
    var leavesIn: Duration? = null
    var rack: String? = null
    var failsEverything = false

    /** True if start orders are rejected as late, as if their lease had ended on the way. */
    var rejectsStarts = false

    /** True if starts of steps that the advice service does not allow here are rejected. */
    var checksTickets = false

    /** True from a crash until the restart; no call is answered meanwhile. */
    var isDown = false
        private set
    var hangs = false

    /** Actual run time of a task as a multiple of its estimate. */
    var slowdown = 1

    /** Time from a stop order to the end of the run. */
    var stopTime: Duration = Duration.ZERO
    private var bootedAt = world.now
    private var highestToken = 0L
    private var leaseUntil = 0L
    private var lastEnd = 0L
    val running = LinkedHashMap<TaskRef, Execution>()
    private val ended = ArrayList<EndedTask>()

    fun listedEnds(): List<EndedTask> = ended

    private val closedRuns = HashMap<TaskRef, Long>()

    /** Clock at the end of each listed run, and when the lease was last found lapsed. */
    private val endedAt = HashMap<Long, Long>()
    private var lastLapse = -1L

    /** True if the lease has lapsed since the end with [number]; such an end does not count as acknowledged. */
    fun hasLapsedSince(number: Long): Boolean = lastLapse > endedAt.getValue(number)

    fun clock(): Long = Duration.between(bootedAt, world.now).toMillis()

    val entry: UpstreamEntry
        get() = UpstreamEntry(id, "$id:1", "pool", "domain", "region", capacity, rack = rack, leavesIn = leavesIn)

    /** Ends all runs without a report; the upstream restarts after [downTime]. */
    fun crash(downTime: Duration) {
        world.crashed(running.keys.toList())
        running.clear()
        isDown = true
        world.after(downTime) { restart() }
    }

    /** Ends the run of [task] as failed. */
    fun fail(task: TaskRef): Unit = end(running.getValue(task), RunEnd.FAILED)

    /** Changes the capacity while tasks run. */
    fun resize(newCapacity: Resources) {
        world.resized(this)
        capacity = newCapacity
    }

    fun restart() {
        isDown = false
        running.clear()
        ended.clear()
        closedRuns.clear()
        incarnation++
        bootedAt = world.now
        lastLapse = -1
        highestToken = 0
        leaseUntil = 0
        lastEnd = 0
    }

    private fun renew(until: Long?) {
        if (until != null) leaseUntil = maxOf(leaseUntil, minOf(until, clock() + world.maxLease.toMillis()))
    }

    fun observe(order: UpstreamOrder.Observe): Observation {
        advance()
        if (order.token < highestToken) return Observation.Displaced
        highestToken = order.token
        renew(order.leaseUntilMillis)
        world.acknowledged(this, ended.filter { it.number <= order.acknowledgeUpTo })
        ended.removeIf { it.number <= order.acknowledgeUpTo }
        val rows = running.values.map { RunningTask(it.task, it.run, "", percent(it)) }
        val omitsRuns = ended.size >= LISTED_ENDS
        return Observation.Seen(clock(), incarnation, rows, ended.take(LISTED_ENDS), omitsRuns)
    }

    private fun percent(execution: Execution): Int {
        val total = Duration.between(execution.startedAt, execution.endsAt).toMillis().coerceAtLeast(1)
        val elapsed = Duration.between(execution.startedAt, world.now).toMillis()
        return if (hangs) 0 else (elapsed * 100 / total).toInt().coerceIn(0, 99)
    }

    fun start(order: UpstreamOrder.Start): StartResult {
        advance()
        if (order.token < highestToken) return StartResult.Displaced
        highestToken = order.token
        renew(order.leaseUntilMillis)
        val current = running[order.task]
        return when {
            current != null && current.run == order.run -> StartResult.Started
            current != null || order.run <= (closedRuns[order.task] ?: 0) ->
                StartResult.NotStarted(NotStartedReason.OLD)
            rejectsStarts || order.leaseUntilMillis < clock() -> StartResult.NotStarted(NotStartedReason.LATE)
            checksTickets && !world.isAllowed(order.task.step, id) -> StartResult.NotStarted(NotStartedReason.TICKET)
            else -> begin(order)
        }
    }

    private fun begin(order: UpstreamOrder.Start): StartResult {
        val spec = world.specOf(order.task)
        val size = spec.resources
        running[order.task] =
            Execution(order.task, order.run, world.now, world.now.plusMillis(spec.estimatedMillis * slowdown), size)
        val used = running.values.fold(Resources.NONE) { sum, execution -> sum + execution.size }
        world.started(this, order, used)
        world.crashDelay(order.task)?.let(::crashAfter)
        return StartResult.Started
    }

    private fun crashAfter(delay: Duration) {
        val crashing = incarnation
        if (delay.isZero) return crash(world.downTime)
        world.after(delay) { if (incarnation == crashing && !isDown) crash(world.downTime) }
    }

    fun stop(order: UpstreamOrder.Stop): StopResult {
        advance()
        if (order.token < highestToken) return StopResult.DISPLACED
        highestToken = order.token
        closedRuns.merge(order.task, order.run, ::maxOf)
        running[order.task]?.takeIf { it.run <= order.run }?.let { it.stopsAt = it.stopsAt ?: world.now.plus(stopTime) }
        advance()
        return StopResult.ACCEPTED
    }

    /** Ends runs that are due: stopped and finished ones and, once the lease has lapsed, all. */
    fun advance() {
        running.values.filter { it.stopsAt?.isAfter(world.now) == false }.forEach { end(it, RunEnd.STOPPED) }
        if (clock() > leaseUntil) {
            lastLapse = clock()
            running.values.toList().forEach { end(it, RunEnd.LAPSED) }
        }
        if (hangs) return
        running.values.filter { !it.endsAt.isAfter(world.now) }.forEach {
            end(it, if (failsEverything) RunEnd.FAILED else RunEnd.DONE)
        }
    }

    private fun end(
        execution: Execution,
        outcome: RunEnd,
    ) {
        running -= execution.task
        closedRuns.merge(execution.task, execution.run, ::maxOf)
        ended += EndedTask(++lastEnd, execution.task, execution.run, outcome, "")
        endedAt[lastEnd] = clock()
    }

    companion object {
        /** Most ends that one answer lists. */
        const val LISTED_ENDS = 500
    }
}
