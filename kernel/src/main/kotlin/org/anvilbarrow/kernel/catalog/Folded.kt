package org.anvilbarrow.kernel.catalog

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.SnapshotChange
import org.anvilbarrow.protocol.model.ResourceSpec

/** A catalog part of the way through a list of records. */
internal data class Folded(
    val catalog: Catalog,
    val events: PersistentList<CatalogEvent> = persistentListOf(),
    val replaced: Boolean = false,
) {
    /** Applies [record], whose offset is the next. */
    fun next(record: LogRecord): Folded {
        val payload = CatalogPayloads.decode(record.payload)
        return when {
            payload is CatalogPayload.Snapshot -> snapshot(payload, record.offset)
            payload !is CatalogPayload.ResourceChange -> skip(record.offset)
            catalog.restoring != null -> copy(catalog = catalog.copy(restoring = catalog.restoring.plus(record)))
            else -> change(payload, record.offset)
        }
    }

    private fun skip(offset: Long) =
        copy(catalog = catalog.copy(skippedRecords = catalog.skippedRecords + 1).movedPast(offset))

    private fun change(
        change: CatalogPayload.ResourceChange,
        offset: Long,
    ): Folded {
        val moved = catalog.movedPast(offset)
        if (change.changeId in catalog.recentChanges) return copy(catalog = moved)
        val kind = checkNotNull(ResourceKind.ofLabel(change.kind)) { "decoded a change of kind ${change.kind}" }
        val before = catalog.find(kind, change.name)
        val accepted =
            isExpected(change.expectedVersion, before?.version) &&
                (before != null || change.spec != null) &&
                AnchorRule.allows(catalog, kind, change.name, change.spec)
        val remembered = moved.remembering(SnapshotChange(change.changeId, offset, accepted))
        if (!accepted) return copy(catalog = remembered)
        val event = CatalogEvent(kind, change.name, offset, changeOf(before?.spec, change.spec))
        val spec = change.spec
        val changed =
            if (spec ==
                null
            ) {
                remembered.without(kind, change.name)
            } else {
                remembered.with(change.name, spec, offset)
            }
        return copy(catalog = changed, events = events.add(event))
    }

    /** Zero means that the object does not exist, so an object whose version is offset 0 matches only "any". */
    private fun isExpected(
        expected: Long?,
        version: Long?,
    ) = expected == null || (if (expected == 0L) version == null else version == expected)

    private fun changeOf(
        before: ResourceSpec?,
        after: ResourceSpec?,
    ): CatalogChange =
        when {
            after == null -> CatalogChange.Deleted(checkNotNull(before) { "an object that does not exist was deleted" })
            before == null -> CatalogChange.Created(after)
            else -> CatalogChange.Replaced(before, after)
        }

    private fun snapshot(
        part: CatalogPayload.Snapshot,
        offset: Long,
    ): Folded {
        val progress = catalog.snapshots.takeIf { part.asOfOffset <= offset }?.plus(part) ?: return skip(offset)
        val moved = catalog.movedPast(offset)
        val complete =
            progress.completeParts(part.snapshotId) ?: return copy(catalog = moved.copy(snapshots = progress))
        val noted = moved.copy(snapshots = progress.completed(part.asOfOffset))
        val usable = noted.restoring != null && part.asOfOffset >= noted.restoring.floorOffset
        return if (usable) copy(catalog = noted).restored(complete) else copy(catalog = noted)
    }

    /** Replaces the objects by those of the snapshot [parts] and applies the changes that were buffered for it. */
    fun restored(parts: List<CatalogPayload.Snapshot>): Folded {
        val asOf = parts.first().asOfOffset
        val base = catalog.replacedBy(parts)
        val restoring = catalog.restoring
        return when {
            restoring == null -> {
                copy(catalog = base, replaced = true)
            }

            asOf < restoring.floorOffset -> {
                copy(catalog = base.copy(restoring = restoring), replaced = true)
            }

            else -> {
                restoring.buffered
                    .filter { it.offset >= asOf }
                    .fold(Folded(base, replaced = true)) { folded, record -> folded.next(record) }
                    .let { it.copy(catalog = it.catalog.copy(appliedOffset = maxOf(restoring.nextOffset, asOf))) }
            }
        }
    }
}

private fun Catalog.movedPast(offset: Long): Catalog =
    if (restoring ==
        null
    ) {
        copy(appliedOffset = offset + 1)
    } else {
        copy(restoring = restoring.copy(nextOffset = offset + 1))
    }

private fun Catalog.remembering(change: SnapshotChange): Catalog {
    val added = recentChanges.put(change.changeId, change)
    val bounded = if (added.size > CatalogLimits.REMEMBERED_CHANGES) added.remove(added.keys.first()) else added
    return copy(recentChanges = bounded)
}

/** Returns the catalog with the objects and remembered changes of the snapshot [parts], as of its offset. */
internal fun Catalog.replacedBy(parts: List<CatalogPayload.Snapshot>): Catalog {
    val empty =
        Catalog(
            appliedOffset = parts.first().asOfOffset,
            current = current,
            recentChanges =
                parts
                    .flatMap { it.recentChanges }
                    .sortedBy { it.offset }
                    .associateBy { it.changeId }
                    .toPersistentMap(),
            skippedRecords = skippedRecords,
            snapshots = snapshots,
        )
    return parts.flatMap { it.objects }.fold(empty) { catalog, declared ->
        catalog.with(declared.name, declared.spec, declared.version)
    }
}
