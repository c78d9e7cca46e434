package org.anvilbarrow.kernel.proof

import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.protocol.upstream.RunningTask

/** A task that a [FakeUpstream] runs and how to tell its ingress that it ended. */
internal class TaskRun(
    val grant: Grant,
    val onEnd: (TaskResult) -> Unit,
)

/** Rules of assumptions A1 and A2 that a mutant switches off. */
internal data class UpstreamRules(
    val checksStarts: Boolean = true,
    val oneLeaseHolder: Boolean = true,
)

/** An upstream that follows assumptions A1 to A4 and never checks its capacity. */
internal class FakeUpstream(
    val id: UpstreamId,
    val spec: UpstreamSpec,
    private val timeline: Timeline,
    private val clock: SkewedClock,
    private val rules: UpstreamRules,
) {
    private var incarnation = 1L
    private var epoch = 0L
    private var holder: SchedulerId? = null
    private var expiresAtMillis = 0L
    private var grantsFromMillis = clock.millis()
    private val known = HashSet<TaskId>()
    val running = LinkedHashMap<TaskId, TaskRun>()
    var alive = true
        private set
    var leaving = false
    var failing = false

    /** The scheduler whose lease is valid now, or null. */
    val validHolder: SchedulerId?
        get() = holder?.takeIf { alive && clock.millis() < expiresAtMillis }

    /** Grants or renews the lease (A1). */
    fun lease(request: LeaseRequest): LeaseReply {
        val now = clock.millis()
        val current = validHolder
        val renewal = current == request.scheduler && request.epoch == epoch
        if (current != null && !renewal && rules.oneLeaseHolder) {
            return LeaseReply.Denied(current, expiresAtMillis - now)
        }
        if (now < grantsFromMillis) return LeaseReply.Denied(null, grantsFromMillis - now)
        if (!renewal) epoch++
        holder = request.scheduler
        expiresAtMillis = now + request.ttlMillis
        stopTasksWithoutLease(request.ttlMillis)
        return LeaseReply.Granted(
            epoch = epoch,
            upstreamIncarnation = incarnation,
            upstreamClockMillis = now,
            running = running.values.map { RunningTask(it.grant.task, it.grant.resources) },
            leaving = leaving,
        )
    }

    /** Gives the lease back, unless another grant replaced it. */
    fun release(release: LeaseRelease) {
        if (holder == release.scheduler && epoch == release.epoch) holder = null
    }

    /** Starts a task (A2), or returns false if it did not run. */
    fun start(
        grant: Grant,
        runMicros: Long,
        onEnd: (TaskResult) -> Unit,
    ): Boolean {
        val permitted = alive && (!rules.checksStarts || permits(grant))
        if (!permitted || !known.add(grant.task)) return false
        running[grant.task] = TaskRun(grant, onEnd)
        val startedIn = incarnation
        timeline.after(runMicros) {
            if (incarnation == startedIn) end(grant.task, if (failing) TaskResult.FAILED else TaskResult.ANSWERED)
        }
        return true
    }

    /** Stops a task if it runs. */
    fun stop(task: TaskId) = end(task, TaskResult.LOST)

    /** Ends the process and its tasks. */
    fun kill() {
        alive = false
        incarnation++
        running.keys.toList().forEach { end(it, TaskResult.LOST) }
    }

    /** Starts the process again under a new incarnation. */
    fun restart(leaseTtlMillis: Long) {
        alive = true
        known.clear()
        holder = null
        epoch = 0
        grantsFromMillis = clock.millis() + leaseTtlMillis
    }

    private fun permits(grant: Grant): Boolean =
        grant.leaseEpoch == epoch &&
            grant.upstreamIncarnation == incarnation &&
            validHolder != null &&
            clock.millis() <= grant.startByUpstreamMillis

    private fun end(
        task: TaskId,
        result: TaskResult,
    ) {
        running.remove(task)?.onEnd?.invoke(result)
    }

    /** Assumption A3; [grantsFromMillis] is not involved, as a restart ended the tasks already. */
    private fun stopTasksWithoutLease(leaseMillis: Long) {
        val leasedUntil = expiresAtMillis
        val leasedIn = incarnation
        timeline.after(millis(leaseMillis + TASK_TTL_MILLIS)) {
            if (incarnation == leasedIn && expiresAtMillis == leasedUntil) {
                running.keys.toList().forEach { end(it, TaskResult.LOST) }
            }
        }
    }

    private companion object {
        const val TASK_TTL_MILLIS = 20_000L
    }
}
