package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.log.RecordsPage

/** Talks to the platform's log; calls block. */
public interface LogClient {
    /** Appends [payloads] in one call. */
    public fun append(payloads: List<String>): AppendCallResult

    /** Reads a page of records from [fromOffset] on. */
    public fun read(fromOffset: Long): ReadCallResult
}

/** Result of an append. */
public sealed interface AppendCallResult {
    /** The payloads are on the log, the first at [firstOffset]. */
    public data class Appended(
        val firstOffset: Long,
    ) : AppendCallResult

    /** The payloads are certainly not on the log. */
    public data class NotAppended(
        val detail: String,
    ) : AppendCallResult

    /** The payloads may be on the log, as no answer arrived. */
    public data class MaybeAppended(
        val detail: String,
    ) : AppendCallResult
}

/** Result of a read. */
public sealed interface ReadCallResult {
    /** A page was read; it may be empty. */
    public data class Page(
        val page: RecordsPage,
    ) : ReadCallResult

    /** The offset is no longer kept; reading has to start over at [firstRetainedOffset]. */
    public data class Compacted(
        val firstRetainedOffset: Long,
    ) : ReadCallResult

    /** The log did not answer. */
    public data class Unreachable(
        val detail: String,
    ) : ReadCallResult
}
