package org.anvilbarrow.scheduler.cell

import java.util.concurrent.atomic.AtomicLong
import java.util.random.RandomGenerator

/**
 * Numbers the messages of one process that peers answer; safe for use by several threads.
 *
 * Answers name only the address and the number, and those to an earlier incarnation may still arrive after a restart.
 * Numbers start at a random value, so that no two incarnations use the same ones. The start is not taken from the
 * clock, which may be set back between them.
 */
internal class CorrelationNumbers(
    random: RandomGenerator,
) {
    private val last = AtomicLong(random.nextLong(START_BOUND))

    fun next(): Long = last.incrementAndGet()

    private companion object {
        /** Leaves 2^62 numbers before an overflow. Two ranges of 2^32 numbers overlap once in 2^29 restarts. */
        const val START_BOUND = 1L shl 62
    }
}
