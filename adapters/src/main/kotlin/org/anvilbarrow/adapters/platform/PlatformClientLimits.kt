package org.anvilbarrow.adapters.platform

import java.time.Duration

/** Timeouts of the clients of the platform. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class PlatformClientLimits(
    /** Longest wait for a TCP connection. */
    val connectTimeout: Duration = Duration.ofMillis(500),
    /** Longest lease call; under the renewal interval of 1 s, so that a silent connection costs one renewal. */
    val leaseTimeout: Duration = Duration.ofMillis(800),
    /** Longest call of the log or the VM list. */
    val callTimeout: Duration = Duration.ofSeconds(2),
    /** Idle connections are closed after this time; under the 30 s after which upstreams close theirs. */
    val idleTimeout: Duration = Duration.ofSeconds(10),
    /** Most connections to one address, for example 64 tasks and the lease calls. */
    val maxConnectionsPerAddress: Int = 128,
)
