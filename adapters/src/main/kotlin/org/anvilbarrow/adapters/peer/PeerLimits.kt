package org.anvilbarrow.adapters.peer

import java.time.Duration

/** Times and bounds of the connections between schedulers. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class PeerLimits(
    /** A connection on which nothing arrives for this time is closed and replaced; heartbeats come every second. */
    val silence: Duration = Duration.ofSeconds(3),
    /** Messages that wait for one peer; the oldest is dropped when one more arrives. */
    val queuedMessages: Int = 2_048,
    /** Pause after the first failed attempt to connect; doubles with every further one. */
    val firstBackoff: Duration = Duration.ofMillis(100),
    /** Longest pause between two attempts to connect. */
    val maxBackoff: Duration = Duration.ofSeconds(2),
    /** Shortest time between two acknowledgements on one connection. */
    val acknowledge: Duration = Duration.ofMillis(500),
    /** Most incoming connections; further ones are closed at once. */
    val maxIncoming: Int = 64,
)
