package org.anvilbarrow.kernel.ownership

import java.time.Duration

/** Times of the claim to a shard. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class ClaimLimits(
    /** Interval in which an owner renews its claim. */
    val renewal: Duration = Duration.ofMillis(500),
    /** An owner that did not renew for this time is replaced: one renewal may be lost, and the next be 250 ms late. */
    val silence: Duration = Duration.ofMillis(1_250),
    /** The same if the connection to the owner broke, as that of a dead process does; a reset one is back by then. */
    val silenceAfterLinkLoss: Duration = Duration.ofMillis(750),
    /** Rejections of a claim in a row after which an owner asks for a successor; they are [retry] apart. */
    val rejectionsBeforeSuccessor: Int = 2,
    /** Shortest time after which an append without an answer is sent again on another connection. */
    val appendAgain: Duration = Duration.ofMillis(450),
    /** Shortest time that a read waits for a record. */
    val minReadWait: Duration = Duration.ofMillis(50),
    /** Renewals after which owners before the present one have stopped: 6 s at [renewal], for 5 s without one. */
    val renewalsOfSettledOwner: Int = 12,
    /**
     * How much longer a process waits before it claims that has fewer cores than an earlier owner.
     *
     * A restart after a power loss takes 0.7 s on 1.5 cores, so a process of that size claims first.
     */
    val smallerWait: Duration = Duration.ofMillis(700),
    /** Share of the cores of the largest owner so far below which a process counts as smaller. */
    val smallerCoreRatio: Double = 0.7,
    /** How long an owner knows of a larger process before it hands over; connections settle 1 s after a takeover. */
    val handOverDelay: Duration = Duration.ofSeconds(4),
    /** How long a process does not claim after it handed the shard to a larger one. */
    val handOverPause: Duration = Duration.ofSeconds(10),
    /** A longer pause of the process lets others claim; below [silence], less the 250 ms that a renewal may be late. */
    val longestPause: Duration = Duration.ofSeconds(1),
    /** Pause after a read or append that failed. */
    val retry: Duration = Duration.ofMillis(200),
)
