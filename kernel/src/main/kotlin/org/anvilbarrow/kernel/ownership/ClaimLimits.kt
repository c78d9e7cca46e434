package org.anvilbarrow.kernel.ownership

import java.time.Duration

/** Timeouts and thresholds of shard ownership. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class ClaimLimits(
    /** Interval at which an owner renews its claim. */
    val renewalInterval: Duration = Duration.ofMillis(500),
    /** Time without a renewal after which an owner is replaced; allows one lost renewal and 250 ms of delay. */
    val ownerTimeout: Duration = Duration.ofMillis(1_250),
    /**
     * The same if the connection to the owner broke, which suggests that its process died.
     *
     * A connection that was only reset is re-established within this time.
     */
    val ownerTimeoutAfterLinkLoss: Duration = Duration.ofMillis(750),
    /** Consecutive rejections of a claim, [retryDelay] apart, after which an owner asks for a successor. */
    val rejectionsBeforeSuccessor: Int = 2,
    /** Minimum time without a response after which an append is resent on another connection. */
    val minAppendTimeout: Duration = Duration.ofMillis(450),
    /** Minimum long-poll wait of a read. */
    val minReadWait: Duration = Duration.ofMillis(50),
    /**
     * Renewals by an owner after which all owners before it have stopped.
     *
     * An owner stops renewing leases 5 s after its last confirmed renewal; 12 renewals at [renewalInterval] take 6 s.
     */
    val renewalsUntilPredecessorsStopped: Int = 12,
    /**
     * Extra delay before a process claims that has fewer cores than an earlier owner.
     *
     * A restart after a power loss takes 0.7 s on 1.5 cores, so that a process of that size claims first.
     */
    val smallerProcessDelay: Duration = Duration.ofMillis(700),
    /** A process with less than this fraction of the largest known core count is considered smaller. */
    val smallerCoreRatio: Double = 0.7,
    /**
     * How long a larger process must be connected before the owner hands the shard over to it.
     *
     * Connections are stable about 1 s after a takeover.
     */
    val handOverDelay: Duration = Duration.ofSeconds(4),
    /** How long a process does not claim the shard after it handed it over. */
    val handOverBackoff: Duration = Duration.ofSeconds(10),
    /**
     * After a longer pause of the process, another one may have claimed the shard.
     *
     * At most [ownerTimeout] less the 250 ms by which a renewal may be late.
     */
    val longestPause: Duration = Duration.ofSeconds(1),
    /** Delay before a failed read or append is retried. */
    val retryDelay: Duration = Duration.ofMillis(200),
)
