package org.anvilbarrow.protocol.log

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.ResourceSpec

/** Payload of a log record of the catalog, as JSON. */
@Serializable
public sealed interface CatalogPayload {
    /**
     * Creates, replaces or deletes one object.
     *
     * It takes effect only if the object's version at this record's offset equals [expectedVersion]
     * (0: the object does not exist; null: any). A [changeId] that was seen before is ignored.
     */
    @Serializable
    @SerialName("change")
    public data class ResourceChange(
        val changeId: String,
        val kind: String,
        val name: String,
        /** The new content, or null to delete the object. */
        val spec: ResourceSpec?,
        val expectedVersion: Long? = null,
    ) : CatalogPayload

    /** One part of the whole catalog as it was after [asOfOffset]; written before old records lapse. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val snapshotId: String,
        val asOfOffset: Long,
        val part: Int,
        val parts: Int,
        val objects: List<SnapshotObject>,
        /** Remembered changes, in offset order across the parts. */
        val recentChanges: List<SnapshotChange>,
    ) : CatalogPayload
}

/** One object within a snapshot. */
@Serializable
public data class SnapshotObject(
    val kind: String,
    val name: String,
    val version: Long,
    val spec: ResourceSpec,
)

/** A change that readers remember, so that a second record with the same id is ignored. */
@Serializable
public data class SnapshotChange(
    val changeId: String,
    /** Offset of the first record with this id. */
    val offset: Long,
    /** True if that record took effect; its offset is then the version of the object. */
    val accepted: Boolean,
)
