package org.anvilbarrow.kernel.jobs

import java.time.Duration

/** Timeouts, intervals and limits of a [Cell]. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class CellLimits(
    /** Number of shards of the cell; each gets an equal part of the limit of a workspace. */
    val shards: Int = 1,
    /** Lease on running tasks. It outlasts a takeover (about 3 s) and is renewed every [observeWait]. */
    val lease: Duration = Duration.ofMillis(5_500),
    /** Longest lease that upstreams accept. */
    val maxLease: Duration = Duration.ofSeconds(10),
    /** How long an upstream holds an observe request until a run ends (long polling). */
    val observeWait: Duration = Duration.ofMillis(1_200),
    /** Minimum time between an observation and the next observe request. Each request has a cost. */
    val observeGap: Duration = Duration.ofMillis(120),
    /** Delay after an observe request that failed. */
    val observeRetry: Duration = Duration.ofMillis(400),
    /**
     * Time after an upstream sent an answer within which its ends are acknowledged.
     *
     * A restarted upstream numbers its ends anew, and would drop those up to the number of its earlier incarnation. It
     * is away for 0.6 s or longer.
     */
    val acknowledgeWithin: Duration = Duration.ofMillis(500),
    /** How long after it was sent an order without an answer may still take effect. */
    val maxOrderDelay: Duration = Duration.ofSeconds(12),
    /** Consecutive failed observe requests after which leases are no longer renewed. */
    val failuresBeforeNoRenewal: Int = 2,
    /** Factor by which the monotonic clock of an upstream may run slow. */
    val clockDriftFactor: Double = 1.02,
    /** Time after the end of a lease until it counts as expired: transport and the stop of the tasks. */
    val leaseExpiryMargin: Duration = Duration.ofMillis(500),
    /**
     * How long an owner renews leases after the store last confirmed its claim.
     *
     * Together with [lease], running tasks survive a store outage of 10 s. A successor waits for the sum of both on
     * upstreams that it cannot observe.
     */
    val unconfirmedRenewal: Duration = Duration.ofSeconds(5),
    /** Delay before an unanswered order is sent again. */
    val orderRetry: Duration = Duration.ofMillis(300),
    /** An order that ends sooner without an answer has met a broken connection; a call times out after 0.9 s. */
    val shortestTimeout: Duration = Duration.ofMillis(800),
    /** Unanswered start orders after which the run is stopped instead. */
    val maxStartAttempts: Int = 2,
    /** Time for all members of a gang to start before it is stopped. Members wait 3 s for each other. */
    val gangStartTimeout: Duration = Duration.ofMillis(1_800),
    /** Time without progress after which a run counts as stuck. */
    val stuckAfter: Duration = Duration.ofMillis(3_500),
    /** Consecutive failed runs after which an upstream is quarantined. */
    val failuresBeforeQuarantine: Int = 2,
    /** How long an upstream is quarantined before it gets a single task again. */
    val quarantine: Duration = Duration.ofSeconds(4),
    /**
     * Age of the list of upstreams up to which tasks start.
     *
     * A reduced capacity has to be respected after the contact time of at least 4 s and one heartbeat.
     */
    val maxListAge: Duration = Duration.ofMillis(3_500),
    /** Crashes of upstreams under a task after which its job fails, unless another task is more likely the reason. */
    val maxCrashesOfPrimeSuspect: Int = 3,
    /** Crashes of upstreams under a task after which its job fails in any case. */
    val maxCrashes: Int = 4,
    /**
     * Crashes of upstreams under a task from which on it starts only where no other suspect is on probation.
     *
     * Tasks that share one crash are too many to be tried alone, those that share two are few.
     */
    val crashesBeforeIsolation: Int = 2,
    /** Time that a run has to last before it counts as harmless to its upstream. */
    val crashProbation: Duration = Duration.ofSeconds(1),
    /** Time after which a long-running task that goes on running is no longer held to earlier crashes. */
    val crashForgiveness: Duration = Duration.ofSeconds(30),
    /** Unused part of a ticket's validity: the time for its transport to the owner and to the upstream. */
    val ticketMargin: Duration = Duration.ofMillis(250),
    /** Added to the expected duration of a call to the advice service until it times out. */
    val adviceTimeout: Duration = Duration.ofMillis(1_500),
    /** Advice calls that are expected to take longer do not use the helpers reserved for short calls. */
    val longAdvice: Duration = Duration.ofMillis(300),
    /** Share of the helpers that is reserved for short advice calls. */
    val shortAdviceShare: Double = 0.34,
    /** Advice calls that are expected to take longer do not use the helpers reserved for the shortest calls. */
    val urgentAdvice: Duration = Duration.ofMillis(50),
    /** Share of the helpers that is reserved for the shortest advice calls. */
    val urgentAdviceShare: Double = 0.08,
    /** Share of the helpers for long advice calls that renewals of tickets leave to first requests. */
    val firstAdviceShare: Double = 0.15,
    /** Share of its laxity for which a step that has been advised waits until it renews its tickets. */
    val ticketRenewalLaxityShare: Double = 0.15,
    /** Longest time for which a step that has been advised waits until it renews its tickets. */
    val maxTicketRenewalPause: Duration = Duration.ofSeconds(2),
    /** Maximum number of open advice calls of one helper. */
    val maxAdviceCallsPerHelper: Int = 6,
    /** Interval between reviews of the relays of upstreams. */
    val relayReviewInterval: Duration = Duration.ofMillis(250),
    /** Maximum number of upstreams that one review moves to another relay. */
    val maxRelayMoves: Int = 16,
    /** Minimum time that an upstream keeps its relay: longer than the 3 s within which two callers would conflict. */
    val minRelayHold: Duration = Duration.ofMillis(3_500),
    /** An upstream moves if its relay has this many times the load of the best one. */
    val relayImbalanceRatio: Double = 1.5,
    /** A process with a smaller share of the cores of the largest relay is used only if the others are busy. */
    val relayCoreRatio: Double = 0.7,
    /** Upstreams per core up to which the largest processes of a region make all calls there. */
    val maxLoadPerCore: Double = 40.0,
    /** How long a new owner waits for a relay in an upstream's region. Other processes connect within 200 ms. */
    val relayWait: Duration = Duration.ofMillis(400),
    /** Cores that the owner reserves for its own decisions. */
    val ownerCores: Double = 0.5,
    /** A step with a laxity above this leaves capacity to waiting steps of higher priority. */
    val minLaxityToYield: Duration = Duration.ofSeconds(6),
    /** How long finished jobs are kept. */
    val retention: Duration = Duration.ofSeconds(120),
    /** Submissions are refused while the store has not answered for longer than this. */
    val storeStallTimeout: Duration = Duration.ofMillis(700),
    /** Time after which a caller may retry a submission that was refused. */
    val stallRetryAfter: Duration = Duration.ofSeconds(1),
    /**
     * Time after which a submission that is not known to be stored is answered as unknown.
     *
     * Longer than callers wait. Until then, the process that the caller is connected to may still get a definite answer
     * from the next owner, which is of more use to the caller than an unknown outcome.
     */
    val storeAnswerTimeout: Duration = Duration.ofSeconds(10),
    /** Maximum number of unfinished jobs. */
    val maxOpenJobs: Int = 20_000,
    /** True if jobs beyond the share of their workspace run only where others leave room. */
    val ranksBeyondShareLast: Boolean = true,
    /** True if run times are learned from finished runs; otherwise the estimates of the callers decide alone. */
    val learnsRunTimes: Boolean = true,
    /** Multiple of the latency objective after which the result of a job has no value. */
    val lateFactor: Double = 3.0,
)
