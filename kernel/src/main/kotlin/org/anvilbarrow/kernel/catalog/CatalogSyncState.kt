package org.anvilbarrow.kernel.catalog

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.anvilbarrow.protocol.log.CatalogPayload
import java.time.Instant

/** How this scheduler follows the log, and what it does while the log does not answer. */
internal data class CatalogSyncState(
    /** When the log last answered, or when the scheduler started. */
    val logAnsweredAt: Instant,
    val extent: LogExtent? = null,
    val schedule: SnapshotSchedule,
    val lastPeerRequestAt: Instant = Instant.EPOCH,
    /** Parts of the newest snapshot that peers are sending. */
    val peerParts: PersistentList<CatalogPayload.Snapshot> = persistentListOf(),
)
