package org.anvilbarrow.protocol.resources

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** A declared object; `GET /v1/{kind}/{name}`. */
@Serializable
public data class ResourceDocument(
    val kind: String,
    val name: String,
    val version: Long,
    val spec: JsonObject,
)

/** Objects of one kind; `GET /v1/{kind}`. */
@Serializable
public data class ResourceList(
    val kind: String,
    /** A watch from this version on continues the list. */
    val version: Long,
    val objects: List<ResourceDocument>,
)

/** Answer to a change that is in force. */
@Serializable
public data class ChangeAccepted(
    val kind: String,
    val name: String,
    val version: Long,
    val changeId: String,
)

/** What one line of a watch tells. */
@Serializable
public enum class WatchLineType {
    @SerialName("created")
    CREATED,

    @SerialName("replaced")
    REPLACED,

    @SerialName("deleted")
    DELETED,

    /** No event for some time; the watch can be continued from the line's version on. */
    @SerialName("progress")
    PROGRESS,

    /** The watch ends; the line's detail says why. */
    @SerialName("dropped")
    DROPPED,
}

/** One line of `GET /v1/watch?from=N`. */
@Serializable
public data class WatchLine(
    val type: WatchLineType,
    /** Version of the event, or the version to continue from. */
    val version: Long,
    val kind: String? = null,
    val name: String? = null,
    val spec: JsonObject? = null,
    val detail: String? = null,
)

/** Why a call was not answered as asked. */
@Serializable
public data class ResourceProblem(
    val error: ResourceErrorCode,
    val detail: String,
    /** Fields that are wrong. */
    val faults: List<FieldFault> = emptyList(),
    val changeId: String? = null,
    /** Version of the object in a conflict; null if it does not exist. */
    val currentVersion: Long? = null,
)

/** A field that is wrong: the value seen and what would be accepted. */
@Serializable
public data class FieldFault(
    val field: String,
    val value: String,
    val limit: String,
)

/** Kinds of [ResourceProblem]. */
@Serializable
public enum class ResourceErrorCode {
    @SerialName("invalid")
    INVALID,

    @SerialName("not_found")
    NOT_FOUND,

    @SerialName("conflict")
    CONFLICT,

    @SerialName("unknown_outcome")
    UNKNOWN_OUTCOME,

    @SerialName("refused")
    REFUSED,

    @SerialName("too_old")
    TOO_OLD,
}
