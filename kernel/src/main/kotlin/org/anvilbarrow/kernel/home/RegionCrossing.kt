package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.KernelLimits
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.placement.tasksThatFit
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.model.WorkloadSpec
import java.time.Duration

/** Decides when a request runs outside its region, where it pays for its bytes and waits 60 ms for the links. */
internal object RegionCrossing {
    private const val BYTES_PER_MEBIBYTE = 1_048_576.0

    /** Returns the owner in another region to ask for [request], or null if it should go on waiting. */
    fun ownerFor(
        turn: Turn,
        request: HomeRequest,
        spec: WorkloadSpec,
    ): SchedulerId? {
        val patience = patience(turn.limits, spec.urgency, request.request.bodyBytes)
        if (spec.tasks > 1 || patience == null || turn.now < request.queuedAt + patience) return null
        return turn.state.membership.peers.values
            .filter { it.isLive(turn.now, turn.limits.peerTimeout) && it.heartbeat.region != spec.region }
            .filter { tasksThatFit(spec.resources, it.free) > 0 }
            .maxByOrNull { it.free.slots }
            ?.heartbeat
            ?.scheduler
    }

    private fun patience(
        limits: KernelLimits,
        urgency: Urgency,
        bodyBytes: Long,
    ): Duration? {
        val price = limits.crossingPerMebibyte.toMillis() * bodyBytes / BYTES_PER_MEBIBYTE
        return when (urgency) {
            Urgency.URGENT -> limits.urgentCrossing
            Urgency.NORMAL -> limits.normalCrossing
            Urgency.DEFERRABLE -> null
        }?.plusMillis(price.toLong())
    }
}
