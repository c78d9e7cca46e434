package org.anvilbarrow.benchmarks.simulation

import org.anvilbarrow.benchmarks.cell.CellUpstream
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.protocol.upstream.RunningTask

/** An upstream that grants leases and starts tasks as section 3 of the design requires, without failures of its own. */
internal class FakeUpstream(
    val described: CellUpstream,
    private val timeline: Timeline,
) {
    private val running = LinkedHashMap<TaskId, Resources>()
    private var holder: SchedulerId? = null
    private var epoch = 0L
    private var leaseEndMicros = 0L

    var alive: Boolean = true
        private set
    var used: Resources = Resources.NONE
        private set

    /** Times that running tasks needed more than the capacity; must stay 0. */
    var overcommits: Int = 0
        private set

    /** The upstream's own clock; it differs from that of the schedulers. */
    val clockMillis: Long get() = timeline.nowMicros / MICROS_PER_MILLI + CLOCK_OFFSET_MILLIS

    fun lease(request: LeaseRequest): LeaseReply {
        val isHeld = holder != null && timeline.nowMicros < leaseEndMicros
        val isRenewal = isHeld && holder == request.scheduler && epoch == request.epoch
        if (isHeld && !isRenewal) return LeaseReply.Denied(holder, remainingMillis())
        if (!isRenewal) epoch++
        holder = request.scheduler
        leaseEndMicros = timeline.nowMicros + request.ttlMillis * MICROS_PER_MILLI
        return LeaseReply.Granted(epoch, INCARNATION, clockMillis, running.map { RunningTask(it.key, it.value) })
    }

    fun release(release: LeaseRelease) {
        if (holder == release.scheduler && epoch == release.epoch) holder = null
    }

    /** Starts a task, or returns false if its instruction is out of date. */
    fun start(grant: Grant): Boolean {
        val isCurrent =
            holder != null &&
                timeline.nowMicros < leaseEndMicros &&
                grant.leaseEpoch == epoch &&
                grant.upstreamIncarnation == INCARNATION &&
                clockMillis <= grant.startByUpstreamMillis &&
                grant.task !in running
        if (!isCurrent) return false
        running[grant.task] = grant.resources
        used += grant.resources
        if (!used.fitsIn(described.spec.capacity)) overcommits++
        return true
    }

    /** Ends a task; returns false if it does not run any more. */
    fun end(task: TaskId): Boolean {
        val resources = running.remove(task) ?: return false
        used -= resources
        return true
    }

    fun fail() {
        alive = false
        running.clear()
        used = Resources.NONE
    }

    private fun remainingMillis(): Long = (leaseEndMicros - timeline.nowMicros) / MICROS_PER_MILLI

    private companion object {
        const val INCARNATION = 1L
        const val CLOCK_OFFSET_MILLIS = 86_400_000L
    }
}
