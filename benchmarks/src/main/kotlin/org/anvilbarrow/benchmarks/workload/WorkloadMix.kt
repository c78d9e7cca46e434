package org.anvilbarrow.benchmarks.workload

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.model.WorkloadSpec

/** Class of work that waiting times are reported for. */
internal enum class WaitClass(
    val label: String,
) {
    URGENT("urgent"),
    SERVICE("service"),
    BATCH("batch"),
    GANG("gang"),
}

/** One kind of work of a user: its declaration and how it really arrives and runs. */
internal data class WorkloadShare(
    val name: String,
    val kind: WorkloadKind,
    val urgency: Urgency,
    val idempotent: Boolean,
    val resources: Resources,
    val tasks: Int,
    /** Share of the requests, relative to the other workloads of the mix. */
    val weight: Double,
    val meanRunMillis: Double,
    val deadlineMillis: Long,
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
) {
    val waitClass: WaitClass =
        when {
            kind == WorkloadKind.GANG -> WaitClass.GANG
            urgency == Urgency.URGENT -> WaitClass.URGENT
            kind == WorkloadKind.BATCH -> WaitClass.BATCH
            else -> WaitClass.SERVICE
        }

    /** Returns the declaration for [region]; the declared run time is half of the real mean. */
    fun specIn(region: String): WorkloadSpec =
        WorkloadSpec(
            workloadKind = kind,
            region = region,
            resources = resources,
            tasks = tasks,
            idempotent = idempotent,
            urgency = urgency,
            expectedRunMillis = (meanRunMillis / 2).toLong().coerceAtLeast(1),
        )

    fun nameIn(region: String): String = "$name-$region"

    private companion object {
        const val DEFAULT_BODY_BYTES = 16L * 1024
    }
}

/** The work of one user. */
internal data class WorkloadMix(
    val name: String,
    val shares: List<WorkloadShare>,
) {
    fun declarations(regions: List<String>): Map<String, WorkloadSpec> =
        regions
            .flatMap { region -> shares.map { it.nameIn(region) to it.specIn(region) } }
            .toMap()

    /** Returns the requests per second that keep the scarcest resource of [total] fully used. */
    fun requestsPerSecondAtCapacity(total: Resources): Double {
        val weights = shares.sumOf { it.weight }
        val busiest =
            resourceReaders.maxOf { amountOf ->
                val perRequest =
                    shares.sumOf {
                        it.weight / weights * it.tasks * amountOf(it.resources) * it.meanRunMillis / MILLIS_PER_SECOND
                    }
                val offered = amountOf(total).toDouble()
                if (offered == 0.0) 0.0 else perRequest / offered
            }
        return 1 / busiest
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}

/** Reads each resource of an amount. */
internal val resourceReaders: List<(Resources) -> Int> =
    listOf(
        Resources::cpuMillicores,
        Resources::memoryMebibytes,
        Resources::accelerators,
        Resources::slots,
        Resources::connections,
    )
