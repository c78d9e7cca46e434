package org.anvilbarrow.kernel.core

import java.time.Duration

/** Times and bounds of the kernel. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class KernelLimits(
    /** Interval of [Event.Tick]. */
    val tick: Duration = Duration.ofMillis(100),
    /** How long an upstream grants its lease; a dead owner keeps its upstreams idle for this long. */
    val leaseTtl: Duration = Duration.ofSeconds(3),
    /** Interval of lease renewals; two may be lost before a lease lapses. */
    val leaseRenewal: Duration = Duration.ofSeconds(1),
    /** Interval of attempts to take a lease that another scheduler may still hold. */
    val leaseRetry: Duration = Duration.ofMillis(250),
    /** Part of the lease that the owner does not use, for clocks that drift apart by 1%. */
    val leaseMargin: Duration = Duration.ofMillis(50),
    /** How long an unused grant is valid. */
    val grantTtl: Duration = Duration.ofSeconds(1),
    /** How long a shard that is handed over is held on to, so that grants given before are used under its leases. */
    val closing: Duration = Duration.ofMillis(1_200),
    /** Interval of heartbeats to peers. */
    val heartbeat: Duration = Duration.ofSeconds(1),
    /** A peer is taken for dead after this time without a heartbeat. */
    val peerTimeout: Duration = Duration.ofSeconds(3),
    /** How long another scheduler must be the intended owner before a shard is handed over to it. */
    val handoverDelay: Duration = Duration.ofSeconds(5),
    /** How long a home remembers a request id after its issue time. */
    val idRetention: Duration = Duration.ofMinutes(5),
    /** How long a refused id stays refused; callers are told to come back after this time at the earliest. */
    val refusalRetention: Duration = Duration.ofSeconds(2),
    /** How far the issue time of a request may lie in the home's future. */
    val issuedAhead: Duration = Duration.ofSeconds(1),
    /** Largest difference between the clocks of two schedulers. */
    val schedulerClockBound: Duration = Duration.ofMillis(500),
    /** Interval after which an unanswered `Place` or `Reserve` is sent again or given up. */
    val peerReply: Duration = Duration.ofSeconds(1),
    /** How long a gang waits before slots are held for it. */
    val gangPatience: Duration = Duration.ofSeconds(6),
    /** How long an urgent request waits in its own region before it may run in another. */
    val urgentCrossing: Duration = Duration.ofMillis(200),
    /** The same for a request of normal urgency; deferrable ones never cross. */
    val normalCrossing: Duration = Duration.ofSeconds(2),
    /** Further wait for each mebibyte of the body, which is paid for when it crosses regions. */
    val crossingPerMebibyte: Duration = Duration.ofSeconds(1),
    /** Most requests queued at one scheduler as home. */
    val maxQueued: Int = 20_000,
    /** How often the tasks of one request are started at most. */
    val maxExecutions: Int = 3,
    /** Share of requests that may be executed a second time, over a sliding window. */
    val retryBudgetRatio: Double = 0.1,
)
