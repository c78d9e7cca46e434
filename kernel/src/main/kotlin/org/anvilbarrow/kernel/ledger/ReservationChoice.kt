package org.anvilbarrow.kernel.ledger

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.home.GangHold
import org.anvilbarrow.kernel.placement.candidatesIn
import org.anvilbarrow.kernel.placement.placementPolicyOf
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.peer.PeerMessage

/** Chooses the upstream for a reservation that a peer asks for. */
internal object ReservationChoice {
    fun choose(
        turn: Turn,
        reserve: PeerMessage.Reserve,
    ): UpstreamId? {
        val spec =
            turn.state.catalog.workloads[reserve.workload]
                ?.spec ?: return null
        if (spec.urgency != Urgency.URGENT && GangHold.workload(turn) != null) return null
        val candidates = turn.candidatesIn(reserve.region, reserve.workload).filter { it.upstream !in reserve.avoid }
        return placementPolicyOf(spec).choose(reserve.resources, candidates)
    }
}
