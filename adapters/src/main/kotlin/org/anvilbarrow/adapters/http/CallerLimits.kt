package org.anvilbarrow.adapters.http

import java.time.Duration

/** Bounds of the caller interface. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class CallerLimits(
    /** Longest accepted request body, in bytes. */
    val maxBodyBytes: Long = 16L * 1024 * 1024,
    /** Most requests that wait or run at one time in this process; each uses one traffic thread. */
    val maxExchanges: Int = 200,
    /** Longest time between the issue time of a request and its deadline. */
    val maxDeadline: Duration = Duration.ofDays(8),
    /** A connection on which nothing is read or written for this time is closed. */
    val idleTimeout: Duration = Duration.ofSeconds(30),
) {
    public companion object {
        /** Size of the one buffer through which an answer is streamed, in bytes. */
        public const val BUFFER_BYTES: Int = 16 * 1024

        /** Longest request head that is read, in bytes. */
        public const val MAX_HEAD_BYTES: Int = 8 * 1024

        /** Retry-after of a request that is refused because this process is full. */
        public const val FULL_RETRY_MILLIS: Long = 1_000
    }
}
