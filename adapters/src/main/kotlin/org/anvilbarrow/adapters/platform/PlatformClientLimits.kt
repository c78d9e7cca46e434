package org.anvilbarrow.adapters.platform

import java.time.Duration

/** Timeouts and connection limits of the clients of the platform. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class PlatformClientLimits(
    /** Longest wait for a TCP connection. */
    val connectTimeout: Duration = Duration.ofMillis(500),
    /** Longest lease call; under the renewal interval of 1 s, so that a silent connection costs one renewal. */
    val leaseTimeout: Duration = Duration.ofMillis(800),
    /** Longest call of the log or the VM list, or call to stop a task. */
    val callTimeout: Duration = Duration.ofSeconds(2),
    /** Unused connections are closed after this time; servers usually close theirs after 30 s. */
    val idleTimeout: Duration = Duration.ofSeconds(10),
    /** Most connections to one address; an upstream offers 64. */
    val maxConnectionsPerAddress: Int = 128,
    /** Longest reply to a lease call, in bytes; one running task takes about 200. */
    val maxLeaseReplyBytes: Int = 256 * 1024,
    /** Longest page of the log, in bytes. */
    val maxLogPageBytes: Int = 4 * 1024 * 1024,
    /** Longest VM list, in bytes; one VM takes about 60. */
    val maxVmListBytes: Int = 1024 * 1024,
)
