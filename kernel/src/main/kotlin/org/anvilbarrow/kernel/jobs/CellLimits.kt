package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Times and bounds of the owner of a shard. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class CellLimits(
    /** Lease of running tasks. Longer than a takeover (about 3 s) and renewed every [observeWait]. */
    val lease: Duration = Duration.ofMillis(5_500),
    /** How long an upstream waits for an end before it answers a look. */
    val observeWait: Duration = Duration.ofMillis(1_200),
    /** Shortest time between the answer of a look and the next look; each look is paid for. */
    val observeGap: Duration = Duration.ofMillis(120),
    /** Pause after a look that failed. */
    val observeRetry: Duration = Duration.ofMillis(400),
    /** Looks in a row that may fail before leases are no longer renewed. */
    val failuresBeforeNoRenewal: Int = 2,
    /** Factor by which the steady clock of an upstream may be slow. */
    val clockSlowness: Double = 1.02,
    /** Added to the end of a lease before it is taken as lapsed: transport and stop of the tasks. */
    val lapseMargin: Duration = Duration.ofMillis(500),
    /**
     * How long an owner without a confirmed claim renews leases.
     *
     * With [lease], what runs outlives a store that is away for 10 s. A successor waits for both where it cannot look.
     */
    val unconfirmedRenewal: Duration = Duration.ofSeconds(5),
    /** Pause before an unanswered order is sent again. */
    val orderRetry: Duration = Duration.ofMillis(300),
    /** Unanswered starts in a row before the run is stopped instead. */
    val maxStartAttempts: Int = 2,
    /** A gang of which not every member has started after this time is stopped; members wait 3 s for each other. */
    val gangStartTimeout: Duration = Duration.ofMillis(1_800),
    /** A run without progress for this time is taken as stuck. */
    val stuckAfter: Duration = Duration.ofMillis(3_500),
    /** Failed runs in a row, without a success, after which an upstream is set aside. */
    val failuresBeforeQuarantine: Int = 2,
    /** How long an upstream is set aside before it gets one task again. */
    val quarantine: Duration = Duration.ofSeconds(4),
    /** Part of a ticket's validity that is not used: its way to the owner and on to the upstream. */
    val ticketMargin: Duration = Duration.ofMillis(250),
    /** Added to the expected duration of a call for advice before it is given up. */
    val adviceTimeout: Duration = Duration.ofMillis(1_500),
    /** Calls for advice that are longer than this never use the helpers kept for short ones. */
    val longAdvice: Duration = Duration.ofMillis(300),
    /** Share of the helpers that make only short calls for advice. */
    val shortAdviceShare: Double = 0.34,
    /** Most calls for advice that wait for one helper. */
    val adviceBacklog: Int = 6,
    /** Interval in which the processes that call upstreams are reviewed. */
    val relayReview: Duration = Duration.ofMillis(250),
    /** Most upstreams that one review gives to another process. */
    val relayMoves: Int = 16,
    /** A process calls an upstream for at least this time, longer than the 3 s in which two callers would conflict. */
    val relayHold: Duration = Duration.ofMillis(3_500),
    /** An upstream moves if its process has this many times the load of the best one. */
    val relayImbalance: Double = 1.5,
    /** How long a new owner waits for a process of an upstream's region; others connect within 200 ms. */
    val relayWait: Duration = Duration.ofMillis(400),
    /** Processor time in cores that the owner keeps for its decisions. */
    val ownerCores: Double = 0.5,
    /** A step that can wait longer than this leaves room to steps of higher priority that wait for it. */
    val patience: Duration = Duration.ofSeconds(6),
    /** Finished jobs are forgotten after this time. */
    val retention: Duration = Duration.ofSeconds(120),
    /** A store that has not answered for this time gets no further submissions. */
    val storeStallTimeout: Duration = Duration.ofMillis(700),
    /** When a caller that was refused for a stalled store may come back. */
    val stallRetryAfter: Duration = Duration.ofSeconds(1),
    /**
     * When a caller whose submission may be stored is told so.
     *
     * Longer than callers wait: until then the process that the caller is connected to may get an answer from the next
     * owner, which a caller can use and an unknown outcome cannot replace.
     */
    val storeAnswerTimeout: Duration = Duration.ofSeconds(10),
    /** Most jobs that are not finished. */
    val maxOpenJobs: Int = 20_000,
    /** Multiple of the latency objective after which a job is worth nothing. */
    val lateFactor: Double = 3.0,
)
