package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.SchedulerId
import java.time.Duration
import java.time.Instant

/**
 * Decides when a scheduler appends a snapshot.
 *
 * A snapshot is due when the newest one is old by time, by records, or by its place in what the log still keeps. The
 * first of the live schedulers by id writes it; each of the others waits [takeover] longer than the one before it, so
 * that a scheduler that is alive but cut off from the log is replaced. Two writers are harmless: a snapshot only
 * repeats what the log says.
 */
@Suppress("MagicNumber") // The properties name the numbers.
public data class SnapshotRule(
    /** Longest time between snapshots; it has to be well under the log's shortest retention. */
    val interval: Duration = Duration.ofHours(1),
    /** Records after which a snapshot is written early, which bounds what a starting scheduler has to read. */
    val maxRecords: Long = 1_000,
    /** How much longer each further scheduler waits. */
    val takeover: Duration = Duration.ofMinutes(1),
    /** Shortest time between two snapshots of one writer, for a log that keeps hardly more than one snapshot. */
    val minInterval: Duration = Duration.ofSeconds(30),
) {
    /** Returns the state of a scheduler that started at [now]. */
    public fun start(now: Instant): SnapshotSchedule = SnapshotSchedule(seenAt = now)

    /**
     * Notes what [catalog] and the log look like at [now]; [SnapshotDecision.write] tells whether [self] has to append
     * `CatalogSnapshots.write(catalog, ...)` now.
     */
    public fun step(
        schedule: SnapshotSchedule,
        catalog: Catalog,
        log: LogExtent,
        self: SchedulerId,
        liveSchedulers: Collection<SchedulerId>,
        now: Instant,
    ): SnapshotDecision {
        val noted = schedule.noting(catalog, isDueByRecords(catalog, log), now)
        val patience = takeover.multipliedBy(liveSchedulers.count { it < self }.toLong())
        val dueAt = minOf(noted.seenAt + interval, noted.dueByRecordsAt ?: Instant.MAX)
        val attemptAt = noted.attemptedAt?.plus(minInterval) ?: Instant.MIN
        val write =
            catalog.current &&
                catalog.restoring == null &&
                Duration.between(dueAt, now) >= patience &&
                now >= attemptAt
        return SnapshotDecision(if (write) noted.copy(attemptedAt = now) else noted, write)
    }

    private fun isDueByRecords(
        catalog: Catalog,
        log: LogExtent,
    ): Boolean {
        val behind = catalog.appliedOffset - (catalog.snapshots.lastAsOfOffset ?: 0)
        val kept = log.endOffset - log.firstRetainedOffset
        return behind >= maxRecords || (log.firstRetainedOffset > 0 && behind > 0 && behind > kept / 2)
    }
}

/** What a scheduler remembers for [SnapshotRule]. */
public data class SnapshotSchedule(
    /** When the newest complete snapshot was read, or when the scheduler started. */
    val seenAt: Instant,
    /** The offset that this snapshot describes. */
    val seenAsOfOffset: Long? = null,
    /** Since when a snapshot is due by records, or null. */
    val dueByRecordsAt: Instant? = null,
    /** When this scheduler last appended a snapshot. */
    val attemptedAt: Instant? = null,
) {
    internal fun noting(
        catalog: Catalog,
        dueByRecords: Boolean,
        now: Instant,
    ): SnapshotSchedule {
        val newest = catalog.snapshots.lastAsOfOffset
        return copy(
            seenAt = if (newest == seenAsOfOffset) seenAt else now,
            seenAsOfOffset = newest,
            dueByRecordsAt = if (dueByRecords) dueByRecordsAt ?: now else null,
        )
    }
}

/** Result of [SnapshotRule.step]. */
public data class SnapshotDecision(
    val schedule: SnapshotSchedule,
    val write: Boolean,
)

/** What the log keeps: records from [firstRetainedOffset] up to before [endOffset]. */
public data class LogExtent(
    val firstRetainedOffset: Long,
    val endOffset: Long,
)
