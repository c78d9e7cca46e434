package org.anvilbarrow.kernel.proof

/** How an upstream's leaving becomes known first. */
internal enum class LeavingSign { VM_LIST, OPERATOR, UPSTREAM }

/** Which directions of a link are cut. */
internal enum class Direction { BOTH, FORWARD, BACKWARD }

/** Something that goes wrong during a run; nodes are numbered and wrap around. */
internal sealed interface Fault {
    /** A scheduler process dies and starts again with an empty state. */
    data class SchedulerDies(
        val scheduler: Int,
        val downMillis: Long,
    ) : Fault

    /** A scheduler process stops executing and goes on later, with its queued effects. */
    data class SchedulerPauses(
        val scheduler: Int,
        val millis: Long,
    ) : Fault

    /** A scheduler is asked to stop and starts again some time after it has stopped. */
    data class PlannedStop(
        val scheduler: Int,
        val downMillis: Long,
    ) : Fault

    /** An upstream dies with its tasks and starts again under a new incarnation. */
    data class UpstreamDies(
        val upstream: Int,
        val downMillis: Long,
    ) : Fault

    /** Every task that ends on an upstream fails. */
    data class UpstreamFails(
        val upstream: Int,
        val millis: Long,
    ) : Fault

    /** An upstream starts to leave for good. */
    data class UpstreamLeaves(
        val upstream: Int,
        val sign: LeavingSign,
    ) : Fault

    /** Two schedulers cannot reach each other. */
    data class PeersCut(
        val from: Int,
        val to: Int,
        val direction: Direction,
        val millis: Long,
    ) : Fault

    /** A scheduler cannot reach any peer. */
    data class AllPeersCut(
        val scheduler: Int,
        val millis: Long,
    ) : Fault

    /** A scheduler cannot reach one upstream. */
    data class UpstreamCut(
        val scheduler: Int,
        val upstream: Int,
        val direction: Direction,
        val millis: Long,
    ) : Fault

    /** A scheduler cannot reach any upstream. */
    data class AllUpstreamsCut(
        val scheduler: Int,
        val millis: Long,
    ) : Fault

    /** A scheduler cannot reach the log. */
    data class LogCut(
        val scheduler: Int,
        val millis: Long,
    ) : Fault

    /** A scheduler cannot read the VM list. */
    data class VmListCut(
        val scheduler: Int,
        val millis: Long,
    ) : Fault

    /** The log answers nobody. */
    data class LogDown(
        val millis: Long,
    ) : Fault

    /** The log answers late. */
    data class LogSlow(
        val millis: Long,
    ) : Fault

    /** Two operators change one workload at once; the answer to the first append is lost, so it is sent again. */
    data object OperatorsRace : Fault

    /** Many callers close their connections at once. */
    data object CancellationWave : Fault
}

/** A fault and when it happens, counted from the start of the load. */
internal data class TimedFault(
    val atMillis: Long,
    val fault: Fault,
)

/** Everything that a run depends on; equal plans give equal runs. */
internal data class Plan(
    val seed: Long,
    val schedulers: Int = 3,
    val upstreams: Int = 6,
    val regions: Int = 1,
    val quality: NetworkQuality = NetworkQuality.CLEAN,
    val faults: List<TimedFault> = emptyList(),
    /** Mean time between requests. */
    val requestIntervalMillis: Long = 60,
    /** Share of requests whose caller sends further copies of the id, in percent. */
    val copiedPercent: Int = 25,
)
