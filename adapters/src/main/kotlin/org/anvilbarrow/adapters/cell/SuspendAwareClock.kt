package org.anvilbarrow.adapters.cell

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/**
 * Measures elapsed time, including the time for which the VM was suspended.
 *
 * The monotonic clock stops while a VM is suspended, but the wall clock does not. A forward jump of the wall clock
 * counts as elapsed time.
 */
public class SuspendAwareClock(
    private val monotonic: InstantSource,
    private val wall: InstantSource,
) {
    /** A point in time on both clocks. */
    public class Reading internal constructor(
        internal val monotonic: Instant,
        internal val wall: Instant,
    )

    public fun read(): Reading = Reading(monotonic.instant(), wall.instant())

    /** Returns the time from [earlier] to [later]. */
    public fun between(
        earlier: Reading,
        later: Reading,
    ): Duration =
        maxOf(
            Duration.between(earlier.monotonic, later.monotonic),
            Duration.between(earlier.wall, later.wall),
        )

    /** Returns the time since [reading]. */
    public fun since(reading: Reading): Duration = between(reading, read())
}
