package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Places a task on the tightest upstream that it still fits on, and keeps accelerators for tasks that need them.
 *
 * It is the default for batch work: large gaps stay together for large tasks.
 */
public class PackPlacement : PlacementPolicy {
    override val name: String = "pack"

    override fun choose(
        need: Resources,
        candidates: List<Candidate>,
    ): UpstreamId? {
        var best: Candidate? = null
        var bestWasted = 0
        var bestRemaining = 0L
        for (candidate in candidates) {
            if (!need.fitsIn(candidate.free)) continue
            val wasted = unneededAccelerators(need, candidate)
            val remaining = remainingShares(need, candidate)
            val isBetter =
                when {
                    best == null -> true
                    wasted != bestWasted -> wasted < bestWasted
                    remaining != bestRemaining -> remaining < bestRemaining
                    else -> candidate.upstream < best.upstream
                }
            if (isBetter) {
                best = candidate
                bestWasted = wasted
                bestRemaining = remaining
            }
        }
        return best?.upstream
    }
}

/** Returns the free accelerators of [candidate] that a task without accelerators could block. */
internal fun unneededAccelerators(
    need: Resources,
    candidate: Candidate,
): Int = if (need.accelerators == 0) candidate.free.accelerators else 0
