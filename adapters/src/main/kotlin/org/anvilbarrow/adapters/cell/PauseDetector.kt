package org.anvilbarrow.adapters.cell

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/**
 * Measures the time between two steps of a loop, also when the process stood still in between.
 *
 * The steady clock does not count while a VM is suspended, but the time of day does; a jump of the time of day is taken
 * for a pause, which costs no more than a new connection or a look at the claim. Confined to one thread or coroutine.
 */
public class PauseDetector(
    private val steady: InstantSource,
    private val wall: InstantSource,
) {
    private var steadyAt: Instant = steady.instant()
    private var wallAt: Instant = wall.instant()

    /** Returns the time since the last call, or since this detector was made. */
    public fun sinceLast(): Duration {
        val steadyNow = steady.instant()
        val wallNow = wall.instant()
        val gap = maxOf(Duration.between(steadyAt, steadyNow), Duration.between(wallAt, wallNow))
        steadyAt = steadyNow
        wallAt = wallNow
        return gap
    }
}
