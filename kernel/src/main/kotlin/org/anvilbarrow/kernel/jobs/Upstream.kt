package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/** An upstream at the owner of its shard: its runs, its leases and what is known of its health. */
internal class Upstream(
    val id: UpstreamId,
    var address: String,
) {
    /** Last entry in the platform's list, or null for an upstream known only from the store. */
    var entry: UpstreamEntry? = null
    var isListed = false

    /** Region of the upstream, or null if it is not known. */
    var region: String? = null

    /** Process that calls the upstream, since when, and how many have done so under this owner. */
    var relay: String? = null
    var relayedSince: Instant = Instant.MIN
    var relayTurn = 0L

    /** Earliest time at which the upstream leaves, or null if it stays. */
    var leavesAt: Instant? = null
    val runs = HashMap<TaskRef, Run>()

    /** Room that is taken, by [Run] until the end of the run is certain. */
    var used: Resources = Resources.NONE

    /** Runs of jobs that are not known; they take room of unknown size until they have ended. */
    private var unknownRuns = 0

    /** True once the store holds that runs of the shard may exist here. */
    var isRecorded = false

    /** Start time of the life that was seen last. */
    var life: Long? = null

    /** Highest end that was taken in, and the highest one that is stored. */
    var lastReceivedEnd = 0L
    var storedEnd = 0L

    /** When the last look that succeeded was sent. */
    var seenAt: Instant? = null
    var lookOpen = false
    var nextObservationAt: Instant = Instant.MIN
    var failedObservations = 0

    /** Latest time at which leases given by this owner can lapse. */
    var leasesLapseBy: Instant = Instant.MIN

    /** Clock of the upstream when the last answer arrived, and that time. */
    private var clockMillis = 0L
    private var clockReadAt: Instant = Instant.MIN

    private var failuresInRow = 0
    private var quarantinedUntil: Instant = Instant.MIN

    val capacity: Resources get() = entry?.capacity ?: Resources.NONE

    fun readClock(
        millis: Long,
        now: Instant,
    ) {
        clockMillis = millis
        clockReadAt = now
    }

    /** A lower bound of the upstream's clock at [now]. */
    fun clockAt(now: Instant): Long = clockMillis + Duration.between(clockReadAt, now).toMillis()

    fun add(run: Run) {
        check(runs.put(run.task, run) == null) { "${run.task} already has a run on $id" }
        used += run.resources
        if (run.step == null) unknownRuns++
    }

    fun remove(run: Run) {
        check(runs.remove(run.task, run)) { "${run.task} has no run ${run.number} on $id" }
        used -= run.resources
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
        failuresInRow == 0 || (now.isAfter(quarantinedUntil) && (quarantinedUntil == Instant.MIN || runs.isEmpty()))

    fun succeeded() {
        failuresInRow = 0
        quarantinedUntil = Instant.MIN
    }

    /** Returns true if the upstream is set aside from now on. */
    fun failed(
        now: Instant,
        limits: CellLimits,
    ): Boolean {
        failuresInRow++
        if (failuresInRow < limits.failuresBeforeQuarantine) return false
        quarantinedUntil = now.plus(limits.quarantine)
        return true
    }

    /** A new life runs nothing, has listed nothing and counts its ends anew. */
    fun startLife(newLife: Long) {
        life = newLife
        lastReceivedEnd = 0
        storedEnd = 0
    }

    override fun toString(): String = id.toString()
}
