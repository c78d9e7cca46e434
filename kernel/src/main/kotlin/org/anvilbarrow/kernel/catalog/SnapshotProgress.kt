package org.anvilbarrow.kernel.catalog

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.LogRecord

/** Snapshots seen on the log: the last complete one, and the parts of those that are still incomplete. */
public data class SnapshotProgress(
    /** The offset that the newest complete snapshot describes, or null if none was seen. */
    val lastAsOfOffset: Long? = null,
    /** Parts of incomplete snapshots, by snapshot id and part number. */
    val pending: PersistentMap<String, PersistentMap<Int, CatalogPayload.Snapshot>> = persistentMapOf(),
) {
    /** Returns the parts of [snapshotId] in order if all are there. */
    internal fun completeParts(snapshotId: String): List<CatalogPayload.Snapshot>? {
        val parts = pending[snapshotId].orEmpty().values.sortedBy { it.part }
        return parts.takeIf { it.isNotEmpty() && it.size == it.first().parts }
    }

    /** Returns the progress with [part] noted, or null if it contradicts another part of the same snapshot. */
    internal fun plus(part: CatalogPayload.Snapshot): SnapshotProgress? {
        val known = pending[part.snapshotId] ?: persistentMapOf()
        val other = known.values.firstOrNull()
        if (other != null && (other.parts != part.parts || other.asOfOffset != part.asOfOffset)) return null
        return copy(pending = pending.put(part.snapshotId, known.put(part.part, part))).bounded()
    }

    /** Returns the progress after the snapshot of [asOfOffset] became complete; older incomplete ones are dropped. */
    internal fun completed(asOfOffset: Long): SnapshotProgress =
        SnapshotProgress(
            maxOf(asOfOffset, lastAsOfOffset ?: asOfOffset),
            pending.filterValues { it.values.first().asOfOffset > asOfOffset }.toPersistentMap(),
        )

    private fun bounded(): SnapshotProgress =
        if (pending.size <= MAX_PENDING) {
            this
        } else {
            copy(
                pending =
                    pending.remove(
                        pending
                            .minBy {
                                it.value.values
                                    .first()
                                    .asOfOffset
                            }.key,
                    ),
            )
        }

    public companion object {
        /** Incomplete snapshots that are kept; each comes from a writer that stopped or from two writers at once. */
        public const val MAX_PENDING: Int = 4
    }
}

/** What a reader holds while it waits for a snapshot, as the records before [floorOffset] are gone. */
public data class SnapshotRestore(
    /** A snapshot helps only if it describes this offset or a later one. */
    val floorOffset: Long,
    /** Offset of the record to read next. */
    val nextOffset: Long = floorOffset,
    /** Changes from [floorOffset] on, to be applied after the snapshot. */
    val buffered: PersistentList<LogRecord> = persistentListOf(),
) {
    /** Returns the state after [record], which is a change; the oldest change is dropped if there are too many. */
    internal fun plus(record: LogRecord): SnapshotRestore =
        if (buffered.size < MAX_BUFFERED) {
            copy(nextOffset = record.offset + 1, buffered = buffered.add(record))
        } else {
            SnapshotRestore(
                floorOffset = buffered.first().offset + 1,
                nextOffset = record.offset + 1,
                buffered = buffered.removeAt(0).add(record),
            )
        }

    public companion object {
        /** Changes held at most; about 20 days of the expected 2,300 changes a day, and 20 MB at 400 bytes each. */
        public const val MAX_BUFFERED: Int = 50_000
    }
}
