package org.anvilbarrow.scheduler.process

import java.time.Instant
import java.time.InstantSource

/** Wall clock at the start plus elapsed monotonic time: it never steps back, whatever is done to the wall clock. */
public class MonotonicClock : InstantSource {
    private val start: Instant = Instant.now()
    private val startNanos: Long = System.nanoTime()

    override fun instant(): Instant = start.plusNanos(System.nanoTime() - startNanos)
}
