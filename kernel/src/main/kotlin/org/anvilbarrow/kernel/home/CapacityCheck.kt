package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.placement.tasksThatFit
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.WorkloadSpec

/** Finds workloads that no declared upstream of their region can ever run. */
internal object CapacityCheck {
    fun neverFits(
        turn: Turn,
        spec: WorkloadSpec,
    ): Outcome? {
        val capacities = capacitiesIn(turn, spec.region)
        val room = capacities.sumOf { tasksThatFit(spec.resources, it) }
        if (room >= spec.tasks) return null
        val detail =
            "region ${spec.region} has room for $room of the ${spec.tasks} tasks when it is empty; " +
                "each needs ${spec.resources}"
        return Outcome.Refused(RefusalReason.NEVER_FITS, null, detail)
    }

    private fun capacitiesIn(
        turn: Turn,
        region: String,
    ): List<Resources> =
        turn.state.catalog.upstreams.values
            .filter {
                turn.state.catalog.shards[it.spec.shard]
                    ?.spec
                    ?.region == region
            }.map { it.spec.capacity }
}
