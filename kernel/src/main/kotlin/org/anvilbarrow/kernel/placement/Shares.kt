package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources

/** Shares are integers of this unit, so that comparing them does not depend on floating-point rounding. */
internal const val SHARE_UNIT: Long = 1_000_000

/** Returns the largest used share over all resources of [candidate], in parts of [SHARE_UNIT]. */
internal fun dominantUsedShare(candidate: Candidate): Long {
    val capacity = candidate.capacity
    val free = candidate.free
    return maxOf(
        maxOf(
            usedShare(capacity.cpuMillicores, free.cpuMillicores),
            usedShare(capacity.memoryMebibytes, free.memoryMebibytes),
            usedShare(capacity.accelerators, free.accelerators),
        ),
        usedShare(capacity.slots, free.slots),
        usedShare(capacity.connections, free.connections),
    )
}

/** Returns the sum over all resources of the share that stays free after [need] is committed on [candidate]. */
internal fun remainingShares(
    need: Resources,
    candidate: Candidate,
): Long {
    val capacity = candidate.capacity
    val free = candidate.free
    return share(free.cpuMillicores - need.cpuMillicores, capacity.cpuMillicores) +
        share(free.memoryMebibytes - need.memoryMebibytes, capacity.memoryMebibytes) +
        share(free.accelerators - need.accelerators, capacity.accelerators) +
        share(free.slots - need.slots, capacity.slots) +
        share(free.connections - need.connections, capacity.connections)
}

/** Returns how many tasks that need [need] each fit in [free]; [Int.MAX_VALUE] if they need nothing. */
internal fun tasksThatFit(
    need: Resources,
    free: Resources,
): Int =
    minOf(
        minOf(
            quotient(free.cpuMillicores, need.cpuMillicores),
            quotient(free.memoryMebibytes, need.memoryMebibytes),
            quotient(free.accelerators, need.accelerators),
        ),
        quotient(free.slots, need.slots),
        quotient(free.connections, need.connections),
    )

private fun usedShare(
    capacity: Int,
    free: Int,
): Long = share(capacity - free, capacity)

private fun share(
    part: Int,
    whole: Int,
): Long = if (whole == 0) 0 else part * SHARE_UNIT / whole

private fun quotient(
    free: Int,
    need: Int,
): Int =
    when {
        free < need -> 0
        need == 0 -> Int.MAX_VALUE
        else -> free / need
    }
