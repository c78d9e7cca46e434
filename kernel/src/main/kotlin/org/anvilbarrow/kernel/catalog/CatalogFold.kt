package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.LogRecord

/**
 * Builds the catalog from log records.
 *
 * The result depends only on the records, never on how they were batched, so every reader decides the same:
 * ```
 * when (val result = CatalogFold.apply(catalog, page.records)) {
 *     is FoldResult.Applied -> CatalogFold.markCurrent(result.catalog, page.endOffset)
 *     is FoldResult.Gap -> result.catalog // read again from result.catalog.nextOffset
 * }
 * ```
 */
public object CatalogFold {
    /** Applies [records] in offset order; those that were applied before are ignored. */
    public fun apply(
        catalog: Catalog,
        records: List<LogRecord>,
    ): FoldResult {
        var folded = Folded(catalog)
        for (record in records) {
            val expected = folded.catalog.nextOffset
            if (record.offset > expected) {
                return FoldResult.Gap(folded.catalog, folded.events, expected, record.offset)
            }
            if (record.offset == expected) folded = folded.next(record)
        }
        return FoldResult.Applied(folded.catalog, folded.events, folded.replaced)
    }

    /** Returns [catalog] marked as current if it contains every record before [endOffset]. */
    public fun markCurrent(
        catalog: Catalog,
        endOffset: Long,
    ): Catalog =
        if (!catalog.current && catalog.restoring == null && catalog.appliedOffset >= endOffset) {
            catalog.copy(current = true)
        } else {
            catalog
        }

    /**
     * Returns the catalog to continue with after the log answered that it keeps only records from
     * [firstRetainedOffset] on.
     *
     * If records that were not applied yet are gone, the objects stay as they are until a snapshot and the records
     * after it were read. A catalog that was current stays so, as if the log could not be reached.
     */
    public fun restartAt(
        catalog: Catalog,
        firstRetainedOffset: Long,
    ): Catalog =
        if (catalog.nextOffset >= firstRetainedOffset) {
            catalog
        } else {
            catalog.copy(restoring = SnapshotRestore(firstRetainedOffset))
        }

    /**
     * Returns the catalog that the complete snapshot [parts] describe if it is newer than [catalog].
     *
     * For a catalog that a peer sends while the log does not answer. An older snapshot, an incomplete one or one that
     * contradicts itself changes nothing.
     */
    public fun adopt(
        catalog: Catalog,
        parts: List<CatalogPayload.Snapshot>,
    ): FoldResult.Applied {
        val unchanged = FoldResult.Applied(catalog, emptyList())
        if (parts.isEmpty() || parts.any { !it.isWellFormed() }) return unchanged
        val start: SnapshotProgress? = SnapshotProgress()
        val progress = parts.fold(start) { known, part -> known?.plus(part) }
        val complete = progress?.completeParts(parts.first().snapshotId) ?: return unchanged
        if (complete.first().asOfOffset <= catalog.appliedOffset) return unchanged
        val folded = Folded(catalog).restored(complete)
        return FoldResult.Applied(folded.catalog, folded.events, folded.replaced)
    }
}
