package org.anvilbarrow.protocol.log

import kotlinx.serialization.Serializable

/** One record of the platform's log. */
@Serializable
public data class LogRecord(
    val offset: Long,
    val payload: String,
)

/** Appends payloads in one call; `POST /v1/log/append`. */
@Serializable
public data class AppendRequest(
    val payloads: List<String>,
)

/** Answer to an append: the offset of the first payload; the others follow it. */
@Serializable
public data class AppendReply(
    val firstOffset: Long,
)

/** A page of records; `GET /v1/log/records?from=N`. */
@Serializable
public data class RecordsPage(
    val records: List<LogRecord>,
    /** Lowest offset that the log still keeps. */
    val firstRetainedOffset: Long,
    /** Offset that the next append will get. */
    val endOffset: Long,
)

/** One VM of the platform's list; `GET /v1/vms` answers a JSON array of these. */
@Serializable
public data class VmEntry(
    val name: String,
    val state: VmState,
)

/** State of a VM in the platform's list. */
@Serializable
public enum class VmState {
    LIVE,
    LEAVING,
}
