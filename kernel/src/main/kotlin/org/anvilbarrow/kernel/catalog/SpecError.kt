package org.anvilbarrow.kernel.catalog

/** Why a declared object is not accepted. */
public data class SpecError(
    val code: SpecErrorCode,
    /** Path of the field, for example `resources.cpuMillicores`. */
    val field: String,
    /** The value seen. */
    val value: String,
    /** What would be accepted, for example `1 to 1000`. */
    val limit: String,
) {
    override fun toString(): String = "$field is \"$value\", must be $limit"
}

/** Kinds of [SpecError]. */
public enum class SpecErrorCode {
    /** A name has characters or a length that names cannot have. */
    BAD_NAME,

    /** A value is too small or too large. */
    OUT_OF_RANGE,

    /** A value has the wrong form. */
    BAD_FORM,

    /** A value names something that does not exist. */
    UNKNOWN_REFERENCE,

    /** Another object uses this one. */
    IN_USE,

    /** The anchors of a shard cannot change like this. */
    ANCHORS,

    /** The VM list is needed to decide and could not be read; the same change may be accepted later. */
    VM_LIST_UNKNOWN,
}
