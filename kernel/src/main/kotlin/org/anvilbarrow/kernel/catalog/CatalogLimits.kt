package org.anvilbarrow.kernel.catalog

/** Bounds of the catalog that every reader has to share, as they decide which records take effect. */
public object CatalogLimits {
    /** Changes whose ids are remembered; at 2,300 changes a day this is more than a day and a half. */
    public const val REMEMBERED_CHANGES: Int = 4_096

    /** Longest change id, in characters. */
    public const val MAX_CHANGE_ID_LENGTH: Int = 128

    /** Most parts of a snapshot. */
    public const val MAX_SNAPSHOT_PARTS: Int = 4_096

    /** Largest snapshot part, in bytes of JSON; a part has to fit into one peer frame of 64 KiB as well. */
    public const val MAX_SNAPSHOT_PART_BYTES: Int = 32 * 1024
}
