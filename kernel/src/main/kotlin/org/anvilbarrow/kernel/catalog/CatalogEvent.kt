package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.ResourceSpec

/** One change of one object that took effect. */
public data class CatalogEvent(
    val kind: ResourceKind,
    val name: String,
    /** Offset of the record that made the change. */
    val version: Long,
    val change: CatalogChange,
)

/** What happened to an object. */
public sealed interface CatalogChange {
    /** The object did not exist before. */
    public data class Created(
        val spec: ResourceSpec,
    ) : CatalogChange

    /** The object has a new spec. */
    public data class Replaced(
        val before: ResourceSpec,
        val spec: ResourceSpec,
    ) : CatalogChange

    /** The object exists no longer. */
    public data class Deleted(
        val before: ResourceSpec,
    ) : CatalogChange
}
