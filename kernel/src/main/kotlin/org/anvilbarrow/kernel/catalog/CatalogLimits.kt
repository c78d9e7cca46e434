package org.anvilbarrow.kernel.catalog

/** Bounds of the catalog that every reader has to share, as they decide which records take effect. */
public object CatalogLimits {
    /** Changes whose ids are remembered; at 2,300 changes a day this is more than a day and a half. */
    public const val REMEMBERED_CHANGES: Int = 4_096

    /** Longest change id, in characters. */
    public const val MAX_CHANGE_ID_LENGTH: Int = 128

    /** Most parts of a snapshot. */
    public const val MAX_SNAPSHOT_PARTS: Int = 4_096

    /**
     * Largest snapshot part, in bytes of JSON.
     *
     * A page of the log may hold 500 parts and nothing else; with a third more for escaped quotes it has to stay under
     * the 4 MiB that the log client reads. Parts of 32 KiB made such a page unreadable for good.
     */
    public const val MAX_SNAPSHOT_PART_BYTES: Int = 6 * 1024
}
