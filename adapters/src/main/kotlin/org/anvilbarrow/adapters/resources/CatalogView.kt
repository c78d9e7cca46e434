package org.anvilbarrow.adapters.resources

import org.anvilbarrow.adapters.platform.LogClient
import org.anvilbarrow.adapters.platform.ReadCallResult
import org.anvilbarrow.kernel.catalog.Catalog
import org.anvilbarrow.kernel.catalog.CatalogEvent
import org.anvilbarrow.kernel.catalog.CatalogFold
import org.anvilbarrow.kernel.catalog.FoldResult
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.locks.LockSupport
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The catalog as the resource interface shows it, with the events since some version.
 *
 * It reads the log when it is asked, at most once in [ResourceLimits.logPoll], so it needs no thread of its own. While
 * the log does not answer, it shows the scheduler's own catalog, which may come from a peer.
 */
public class CatalogView(
    private val log: LogClient,
    private val clock: InstantSource,
    private val schedulerCatalog: () -> Catalog = { Catalog() },
    private val limits: ResourceLimits = ResourceLimits(),
    private val pause: (Duration) -> Unit = { LockSupport.parkNanos(it.toNanos()) },
) {
    private val reading = ReentrantLock()
    private val state = Any()
    private var catalog = Catalog()
    private val history = ArrayDeque<CatalogEvent>()
    private var historyFrom = 0L
    private var lastReadAt = Instant.MIN
    private var unreachable: String? = null

    /** Reads the log unless that was done just now, and returns the catalog. */
    public fun refreshed(): ViewedCatalog {
        reading.withLock { if (clock.instant() >= nextReadAt()) readToEnd() }
        return synchronized(state) { ViewedCatalog(catalog, unreachable) }
    }

    /** Reads the log to its end, however recently that was done. */
    internal fun readNow(): ViewedCatalog {
        reading.withLock { readToEnd() }
        return synchronized(state) { ViewedCatalog(catalog, unreachable) }
    }

    /** Waits until the log may be read again. */
    internal fun awaitPoll(): Unit = pause(limits.logPoll)

    /** Returns the next events whose version is at least [version]. */
    internal fun eventsFrom(version: Long): WatchedEvents =
        synchronized(state) {
            if (version < historyFrom) {
                WatchedEvents.TooOld(historyFrom)
            } else {
                val events =
                    history
                        .asSequence()
                        .dropWhile { it.version < version }
                        .take(limits.watchBatch)
                        .toList()
                val end = maxOf(version, catalog.appliedOffset)
                WatchedEvents.Events(events, events.lastOrNull()?.let { it.version + 1 } ?: end)
            }
        }

    private fun nextReadAt() = if (lastReadAt == Instant.MIN) lastReadAt else lastReadAt + limits.logPoll

    private fun readToEnd() {
        var more = true
        while (more) more = readPage()
        lastReadAt = clock.instant()
    }

    /** Returns true if more records may follow at once. */
    private fun readPage(): Boolean =
        when (val result = log.read(synchronized(state) { catalog.nextOffset })) {
            is ReadCallResult.Page -> {
                use(result)
            }

            is ReadCallResult.Compacted -> {
                synchronized(state) {
                    val before = catalog.nextOffset
                    catalog = CatalogFold.restartAt(catalog, result.firstRetainedOffset)
                    unreachable = null
                    catalog.nextOffset > before
                }
            }

            is ReadCallResult.Unreachable -> {
                synchronized(state) { unreachable = result.detail }
                adoptSchedulerCatalog()
                false
            }
        }

    private fun use(read: ReadCallResult.Page): Boolean =
        synchronized(state) {
            unreachable = null
            val before = catalog.nextOffset
            val folded = CatalogFold.apply(catalog, read.page.records)
            catalog = CatalogFold.markCurrent(folded.catalog, read.page.endOffset)
            if (folded is FoldResult.Applied && folded.replacedBySnapshot) forgetHistory(folded)
            folded.events.forEach(history::addLast)
            while (history.size > limits.watchHistory) historyFrom = history.removeFirst().version + 1
            catalog.nextOffset in (before + 1) until read.page.endOffset
        }

    private fun forgetHistory(folded: FoldResult) {
        history.clear()
        historyFrom = folded.events.firstOrNull()?.version ?: folded.catalog.appliedOffset
    }

    private fun adoptSchedulerCatalog() {
        val own = schedulerCatalog()
        synchronized(state) {
            if (own.restoring != null || own.appliedOffset <= catalog.appliedOffset) return
            catalog = own
            history.clear()
            historyFrom = own.appliedOffset
        }
    }
}

/** A catalog and, if the log did not answer, why. */
public data class ViewedCatalog(
    val catalog: Catalog,
    val logUnreachable: String?,
)

/** Events for one watch. */
internal sealed interface WatchedEvents {
    /** The next events; the watch goes on at [nextVersion]. */
    data class Events(
        val events: List<CatalogEvent>,
        val nextVersion: Long,
    ) : WatchedEvents

    /** The events before [firstVersion] are no longer kept. */
    data class TooOld(
        val firstVersion: Long,
    ) : WatchedEvents
}
