package org.anvilbarrow.benchmarks.report

import kotlinx.serialization.Serializable

/** Everything that one invocation of the simulation measured; a later run can be compared with it. */
@Serializable
internal data class BenchmarkReport(
    val runs: List<RunReport>,
    val idle: List<IdleReport> = emptyList(),
)

/** One scheduler under one scenario. */
@Serializable
internal data class RunReport(
    val user: String,
    val cell: String,
    val upstreams: Int,
    val scheduler: String,
    val load: Double,
    val fault: String,
    val seed: Int,
    val arrivalSeconds: Long,
    val waits: Map<String, WaitReport>,
    val packing: PackingReport,
    /** Absent for baselines, which have no control messages. */
    val control: ControlReport? = null,
    val safety: SafetyReport? = null,
    /** Elapsed time of the kernel's steps by type of event, on the machine that ran the simulation. */
    val stepMicros: Map<String, StepReport> = emptyMap(),
)

/** Times from request to start of one class, over the requests that started. */
@Serializable
internal data class WaitReport(
    val offered: Long,
    val started: Long,
    val refused: Long,
    val unknown: Long,
    val p50Millis: Double,
    val p99Millis: Double,
    val p999Millis: Double,
)

/** Use of the scarcest resource. */
@Serializable
internal data class PackingReport(
    val usedShare: Double,
    val offlineShare: Double,
    val ratioToOffline: Double,
)

/** Control messages while requests arrive. */
@Serializable
internal data class ControlReport(
    val placements: Long,
    val requestMessagesPerPlacement: Double,
    val requestBytesPerPlacement: Double,
    val allMessagesPerPlacement: Double,
    val allBytesPerPlacement: Double,
    val crossRegionBytesPerPlacement: Double,
    val crossRegionBytesPerSecond: Double,
    val messagesPerSecondByKind: Map<String, Double>,
    val bytesPerSecondByKind: Map<String, Double>,
    val logAppends: Int,
)

/** Counts that must be 0. */
@Serializable
internal data class SafetyReport(
    val overcommits: Int,
    val repeatedStarts: Int,
)

/** Elapsed time of one type of step. */
@Serializable
internal data class StepReport(
    val count: Long,
    val meanMicros: Double,
    val p99Micros: Double,
    val maxMicros: Double,
)

/** Control cost of a cell without requests. */
@Serializable
internal data class IdleReport(
    val cell: String,
    val upstreams: Int,
    val schedulers: Int,
    val seconds: Long,
    val schedulerBytesPerSecondMean: Double,
    val schedulerBytesPerSecondMax: Double,
    val upstreamBytesPerSecondMax: Double,
    val crossRegionBytesPerSecond: Double,
    val messagesPerSecondByKind: Map<String, Double>,
    val bytesPerSecondByKind: Map<String, Double>,
    /** Processor time of all kernel steps of a scheduler, in parts of one core, mean and largest. */
    val stepCoreShareMean: Double,
    val stepCoreShareMax: Double,
    /** Live heap of all kernels together, divided by the number of schedulers. */
    val heapBytesPerScheduler: Long,
)
