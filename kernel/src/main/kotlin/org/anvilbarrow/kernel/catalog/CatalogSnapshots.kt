package org.anvilbarrow.kernel.catalog

import kotlinx.serialization.KSerializer
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.SnapshotChange
import org.anvilbarrow.protocol.log.SnapshotObject

/** Writes a catalog as snapshot parts, for the log or for a peer. */
public object CatalogSnapshots {
    /**
     * Returns the parts of a snapshot of [catalog].
     *
     * [maxPartBytes] bounds the JSON of a part; an object that is larger than that gets a part of its own.
     * [snapshotId] must differ between writers and between the offsets that one writer describes. Parts may be appended
     * in any order, twice, and between other records.
     */
    public fun write(
        catalog: Catalog,
        snapshotId: String,
        maxPartBytes: Int = CatalogLimits.MAX_SNAPSHOT_PART_BYTES,
    ): List<CatalogPayload.Snapshot> {
        val objects = ResourceKind.entries.flatMap { catalog.list(it) }
        val changes = catalog.recentChanges.values.toList()
        val objectChunks = chunksOf(objects, SnapshotObject.serializer(), maxPartBytes)
        val changeChunks = chunksOf(changes, SnapshotChange.serializer(), maxPartBytes)
        val parts = maxOf(1, objectChunks.size + changeChunks.size)
        return (0 until parts).map { index ->
            CatalogPayload.Snapshot(
                snapshotId = snapshotId,
                asOfOffset = catalog.appliedOffset,
                part = index + 1,
                parts = parts,
                objects = objectChunks.getOrElse(index) { emptyList() },
                recentChanges = changeChunks.getOrElse(index - objectChunks.size) { emptyList() },
            )
        }
    }

    private fun <T> chunksOf(
        items: List<T>,
        serializer: KSerializer<T>,
        maxPartBytes: Int,
    ): List<List<T>> {
        val chunks = mutableListOf<MutableList<T>>()
        var room = 0
        for (item in items) {
            val bytes = strictJson.encodeToString(serializer, item).toByteArray().size + 1
            if (bytes > room) {
                chunks += mutableListOf<T>()
                room = maxPartBytes - HEAD_BYTES
            }
            chunks.last() += item
            room -= bytes
        }
        return chunks
    }

    // Field names, the snapshot id and the numbers of a part.
    private const val HEAD_BYTES = 512
}
