package org.anvilbarrow.adapters.resources

import java.time.Duration

/** Times and bounds of the resource interface. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class ResourceLimits(
    /** Shortest time between two reads of the log while changes and watches wait; bounds their load on the log. */
    val logPoll: Duration = Duration.ofMillis(200),
    /** How long a change waits to be read back before its outcome counts as unknown. */
    val readBack: Duration = Duration.ofSeconds(5),
    /** When to come back after the log did not answer. */
    val retryAfter: Duration = Duration.ofSeconds(5),
    /** Events kept for watches; one that falls further behind is dropped. */
    val watchHistory: Int = 4_096,
    /** Events that a watch takes at once; with a few hundred bytes each this bounds its memory. */
    val watchBatch: Int = 64,
    /** Interval of progress lines on a watch without events, by which a closed connection is noticed. */
    val watchProgress: Duration = Duration.ofSeconds(10),
    /** Watches open at one time; each occupies a thread of the server. */
    val maxWatches: Int = 16,
    /** Largest body of a change, in bytes. */
    val maxBodyBytes: Int = 32 * 1024,
)
