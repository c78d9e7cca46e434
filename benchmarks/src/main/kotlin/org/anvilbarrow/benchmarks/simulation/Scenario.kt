package org.anvilbarrow.benchmarks.simulation

import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.workload.ArrivalPlan
import org.anvilbarrow.benchmarks.workload.WorkloadMix
import org.anvilbarrow.kernel.core.KernelLimits

/** What fails in a run. */
internal enum class Fault(
    val label: String,
) {
    NONE("none"),

    /** The first scheduler of the first region dies for good. */
    OWNER_DEAD("owner dead"),

    /** All upstreams and schedulers of the first failure domain stop answering for good. */
    DOMAIN_DOWN("domain down"),
}

/** One run of the simulation. */
internal data class Scenario(
    val shape: CellShape,
    val mix: WorkloadMix,
    val load: Double,
    val fault: Fault = Fault.NONE,
    val seed: Int = 1,
    /** Length of the time in which requests arrive. */
    val arrivalSeconds: Long = 60,
    val limits: KernelLimits = KernelLimits(),
) {
    val endMicros: Long = (WARM_UP_SECONDS + arrivalSeconds) * MICROS_PER_SECOND
    val faultAtMicros: Long = (WARM_UP_SECONDS + arrivalSeconds / 3) * MICROS_PER_SECOND

    /** Packing is sampled from here on, when queues have built up. */
    val firstSampleMicros: Long = (WARM_UP_SECONDS + arrivalSeconds / 3) * MICROS_PER_SECOND

    val arrivalPlan: ArrivalPlan =
        ArrivalPlan(mix, load, WARM_UP_SECONDS * MICROS_PER_SECOND, arrivalSeconds * MICROS_PER_SECOND, seed)

    companion object {
        /** Schedulers start and take their leases in this time; nothing is measured in it. */
        const val WARM_UP_SECONDS: Long = 15
    }
}
