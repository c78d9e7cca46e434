package org.anvilbarrow.adapters.cell

import java.time.Duration
import java.time.InstantSource

/**
 * Measures the time between two iterations of a loop, including pauses of the process or the VM.
 *
 * A jump of the wall clock is treated as a pause; such a false alarm costs only a reconnect or a check of the claim.
 * Confined to one thread or coroutine.
 */
public class PauseDetector(
    monotonic: InstantSource,
    wall: InstantSource,
) {
    private val clock = SuspendAwareClock(monotonic, wall)
    private var last = clock.read()

    /** Returns the time since the last call, or since this detector was created. */
    public fun sinceLast(): Duration {
        val now = clock.read()
        return clock.between(last, now).also { last = now }
    }
}
