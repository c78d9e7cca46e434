package org.anvilbarrow.standins.log

import org.anvilbarrow.protocol.log.RecordsPage
import java.time.Duration

/** Result of an append. */
public sealed interface AppendDecision {
    /** The payloads were appended, the first at [firstOffset]. */
    public data class Appended(
        val firstOffset: Long,
    ) : AppendDecision

    /** Nothing was appended, as the rate is exceeded; the same append is accepted after [retryAfter]. */
    public data class OverRate(
        val retryAfter: Duration,
    ) : AppendDecision

    /** Nothing was appended and never will be; [detail] says why. */
    public data class Invalid(
        val detail: String,
    ) : AppendDecision
}

/** Result of a read. */
public sealed interface ReadDecision {
    /** Records from the asked offset on; it is empty at the end of the log. */
    public data class Page(
        val page: RecordsPage,
    ) : ReadDecision

    /** The asked offset is below the first that is kept. */
    public data class TooFarBehind(
        val page: RecordsPage,
    ) : ReadDecision
}
