package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.runtimes.UpstreamSpeed
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/** State of an upstream at the owner of its shard: runs, leases and health. */
internal class Upstream(
    val id: UpstreamId,
    var address: String,
) {
    /** Latest entry in the platform's list, or null for an upstream known only from the store. */
    var entry: UpstreamEntry? = null
    var isListed = false

    /** Region of the upstream, or null if it is not known. */
    var region: String? = null

    /** Process that calls the upstream, and the time of its assignment. */
    var relay: String? = null
    var relayedSince: Instant = Instant.MIN

    /** Part of the fencing token, raised by this owner so that its earlier orders to the upstream have no effect. */
    var relayEpoch = 0L

    /** Earliest time at which the upstream leaves, or null if it stays. */
    var leavesAt: Instant? = null

    /** True once the upstream has announced that it leaves. */
    val isLeaving: Boolean get() = leavesAt != null
    val runs = HashMap<TaskRef, Run>()

    /** True while a start order is not answered, which may have crashed the upstream or may still do so. */
    val hasOpenStart: Boolean get() = runs.values.any { it.isStartOpen }

    /** Resources reserved by [runs]. A run holds them until its end is certain. */
    var used: Resources = Resources.NONE

    /** The part of [used] that is held by long-running tasks, which do not end by themselves. */
    var usedForGood: Resources = Resources.NONE
        private set

    /** Number of runs of unknown jobs, which use an unknown amount of resources until they end. */
    private var unknownRuns = 0

    /** True once the store records that runs of the shard may exist here. */
    var isRecorded = false

    /** Start time of the latest observed incarnation. */
    var incarnation: Long? = null

    /** Number of restarts that this owner has seen. */
    var restarts = 0

    /** Number of the last end of a run that was received, and of the last one that is stored. */
    var lastReceivedEnd = 0L
    var lastStoredEnd = 0L

    /** When the last successful observe request was sent. */
    var seenAt: Instant? = null
    var observationPending = false
    var nextObservationAt: Instant = Instant.MIN
    var failedObservations = 0
        private set

    /** True if the upstream fell silent without breaking off a connection: it may only have been cut off at first. */
    var fellSilent = false
        private set

    /** When the last answer to an observe request arrived. */
    private var lastAnsweredAt: Instant = Instant.MIN

    /** Latest time at which leases granted by this owner can expire. */
    var leasesExpireBy: Instant = Instant.MIN
    var leaseGrantedAt: Instant = Instant.MIN

    /** True if orders for an earlier incarnation may still take effect on the present one. */
    var mayReceiveEarlierOrders = false

    private var clock = UpstreamClock()

    private var consecutiveFailures = 0
    private var quarantinedUntil: Instant = Instant.MIN

    val speed = UpstreamSpeed()

    /** Time before the last successful observe request in which no answer of the upstream was awaited. */
    var unobservedTime: Duration = Duration.ZERO
        private set

    /** Largest recorded capacity, which bounds what runs there may use, or null if it is not known. */
    var largestCapacity: Resources? = null

    val capacity: Resources get() = entry?.capacity ?: Resources.NONE

    /** Records that a request got no answer; [timedOut] tells that its connection was not broken off either. */
    fun unanswered(timedOut: Boolean) {
        if (failedObservations == 0) fellSilent = timedOut
        failedObservations++
    }

    /** Records that the observe request sent at [sentAt] was answered at [now]. */
    fun answered(
        sentAt: Instant,
        now: Instant,
    ) {
        unobservedTime = Duration.between(lastAnsweredAt, sentAt)
        failedObservations = 0
        fellSilent = false
        lastAnsweredAt = now
    }

    /** True if the upstream answered the last observe request, and sent that answer at most [time] before [now]. */
    fun answeredWithin(
        time: Duration,
        now: Instant,
    ): Boolean = failedObservations == 0 && !now.isAfter(clock.lastAnswerSentAfter().plus(time))

    /** The answer to the request that was sent at [sentAt] arrived at [now] with the time [millis]. */
    fun readClock(
        millis: Long,
        sentAt: Instant,
        now: Instant,
    ): Unit = clock.read(millis, sentAt, now)

    /** Returns a lower bound of the upstream's clock at [now]. */
    fun clockAt(now: Instant): Long = clock.at(now)

    fun add(run: Run) {
        check(runs.put(run.task, run) == null) { "${run.task} already has a run on $id" }
        used += run.resources
        if (run.isLongRunning) usedForGood += run.resources
        if (run.step == null) unknownRuns++
    }

    fun remove(run: Run) {
        check(runs.remove(run.task, run)) { "${run.task} has no run ${run.number} on $id" }
        used -= run.resources
        if (run.isLongRunning) usedForGood -= run.resources
        if (run.step == null) unknownRuns--
    }

    /** True if the upstream may get new work. */
    fun isUsable(now: Instant): Boolean {
        val listed = entry?.takeIf { isListed } ?: return false
        return !listed.draining &&
            seenAt != null &&
            failedObservations == 0 &&
            relay != null &&
            unknownRuns == 0 &&
            isTrusted(now)
    }

    private fun isTrusted(now: Instant): Boolean =
        consecutiveFailures == 0 ||
            (now.isAfter(quarantinedUntil) && (quarantinedUntil == Instant.MIN || runs.isEmpty()))

    fun succeeded() {
        consecutiveFailures = 0
        quarantinedUntil = Instant.MIN
    }

    /** Records a failure. Returns true if the upstream is quarantined from now on. */
    fun failed(
        now: Instant,
        limits: CellLimits,
    ): Boolean {
        consecutiveFailures++
        if (consecutiveFailures < limits.failuresBeforeQuarantine) return false
        quarantinedUntil = now.plus(limits.quarantine)
        return true
    }

    /** Resets the clock and the counters of ends: a new incarnation has no runs and numbers its ends from 1 again. */
    fun startIncarnation(newIncarnation: Long) {
        incarnation = newIncarnation
        clock = UpstreamClock()
        lastReceivedEnd = 0
        lastStoredEnd = 0
    }

    override fun toString(): String = id.toString()
}
