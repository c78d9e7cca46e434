package org.anvilbarrow.kernel.catalog

/** Result of applying records to a catalog. */
public sealed interface FoldResult {
    /** The catalog after the records that could be applied. */
    public val catalog: Catalog

    /** The changes that took effect, in offset order. */
    public val events: List<CatalogEvent>

    /** Every record was applied or had been applied before. */
    public data class Applied(
        override val catalog: Catalog,
        override val events: List<CatalogEvent>,
        /**
         * True if a snapshot replaced the objects because older records were gone.
         *
         * [events] then lacks the changes before the snapshot; whoever follows events has to list again.
         */
        val replacedBySnapshot: Boolean = false,
    ) : FoldResult

    /** A record was missing: [foundOffset] followed where [expectedOffset] was due. Nothing after it was applied. */
    public data class Gap(
        override val catalog: Catalog,
        override val events: List<CatalogEvent>,
        val expectedOffset: Long,
        val foundOffset: Long,
    ) : FoldResult
}
