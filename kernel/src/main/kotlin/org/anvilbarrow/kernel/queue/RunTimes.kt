package org.anvilbarrow.kernel.queue

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.protocol.model.WorkloadSpec
import java.time.Duration

/** Run times learned from ended tasks, because declared run times are often far off. */
internal data class RunTimes(
    private val meanMillis: PersistentMap<String, Double> = persistentMapOf(),
) {
    /** Returns the learned mean run time of a task, or the declared one before the first task ended. */
    fun expected(
        workload: String,
        spec: WorkloadSpec,
    ): Duration = Duration.ofMillis(meanMillis[workload]?.toLong() ?: spec.expectedRunMillis)

    fun learn(
        workload: String,
        run: Duration,
    ): RunTimes {
        val sample = run.toMillis().toDouble()
        val mean = meanMillis[workload] ?: sample
        return RunTimes(meanMillis.put(workload, mean + (sample - mean) * WEIGHT_OF_NEWEST))
    }

    private companion object {
        /** An exponentially weighted mean over about 20 tasks. */
        const val WEIGHT_OF_NEWEST = 0.05
    }
}
