package org.anvilbarrow.adapters.cell

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/**
 * Measures the time between two iterations of a loop, including pauses of the process or the VM.
 *
 * The monotonic clock stops while a VM is suspended, but the wall clock does not. A jump of the wall clock is treated
 * as a pause; such a false alarm costs only a reconnect or a check of the claim. Confined to one thread or coroutine.
 */
public class PauseDetector(
    private val monotonic: InstantSource,
    private val wall: InstantSource,
) {
    private var lastMonotonic: Instant = monotonic.instant()
    private var lastWall: Instant = wall.instant()

    /** Returns the time since the last call, or since this detector was created. */
    public fun sinceLast(): Duration {
        val monotonicNow = monotonic.instant()
        val wallNow = wall.instant()
        val gap = maxOf(Duration.between(lastMonotonic, monotonicNow), Duration.between(lastWall, wallNow))
        lastMonotonic = monotonicNow
        lastWall = wallNow
        return gap
    }
}
