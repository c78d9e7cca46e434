package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Spreads the tasks of a workload over failure domains, then over racks, then over the least used upstreams.
 *
 * It is the default for services: the loss of one failure domain or rack then takes the fewest of their tasks.
 */
public class SpreadPlacement : PlacementPolicy {
    override val name: String = "spread"

    override fun choose(
        need: Resources,
        candidates: List<Candidate>,
    ): UpstreamId? {
        val inDomain = HashMap<String, Int>()
        val inRack = HashMap<String, Int>()
        for (candidate in candidates) {
            if (candidate.sameWorkload > 0) {
                inDomain.merge(candidate.failureDomain, candidate.sameWorkload, Int::plus)
                inRack.merge(candidate.rack, candidate.sameWorkload, Int::plus)
            }
        }
        val best = Best()
        for (candidate in candidates) {
            if (need.fitsIn(candidate.free)) {
                best.offer(candidate, inDomain[candidate.failureDomain] ?: 0, inRack[candidate.rack] ?: 0)
            }
        }
        return best.candidate?.upstream
    }

    /** Keeps the first candidate in the order of the policy; it allocates nothing per candidate. */
    private class Best {
        var candidate: Candidate? = null
            private set
        private var domainTasks = 0
        private var rackTasks = 0
        private var usedShare = 0L

        fun offer(
            offered: Candidate,
            offeredDomainTasks: Int,
            offeredRackTasks: Int,
        ) {
            val current = candidate
            if (current != null && offeredDomainTasks > domainTasks) return
            val offeredShare = dominantUsedShare(offered)
            val isBetter =
                when {
                    current == null -> true
                    offeredDomainTasks != domainTasks -> true
                    offeredRackTasks != rackTasks -> offeredRackTasks < rackTasks
                    offeredShare != usedShare -> offeredShare < usedShare
                    else -> offered.upstream < current.upstream
                }
            if (!isBetter) return
            candidate = offered
            domainTasks = offeredDomainTasks
            rackTasks = offeredRackTasks
            usedShare = offeredShare
        }
    }
}
