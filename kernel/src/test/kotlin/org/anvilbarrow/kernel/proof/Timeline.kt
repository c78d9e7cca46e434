package org.anvilbarrow.kernel.proof

import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.time.temporal.ChronoUnit
import java.util.PriorityQueue

internal const val MICROS_PER_MILLI = 1_000L

/** Converts milliseconds to the microseconds of a [Timeline]. */
internal fun millis(value: Long): Long = value * MICROS_PER_MILLI

/** The true time of a simulated run and the actions that are due, ordered by time and then by insertion. */
internal class Timeline {
    private class Due(
        val atMicros: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue<Due>(compareBy({ it.atMicros }, { it.sequence }))
    private var sequence = 0L

    var nowMicros = 0L
        private set

    /** Runs [action] after [delayMicros] of true time. */
    fun after(
        delayMicros: Long,
        action: () -> Unit,
    ) {
        queue.add(Due(nowMicros + delayMicros.coerceAtLeast(0), sequence++, action))
    }

    /** Runs [action] after [pause] of true time. */
    fun after(
        pause: Duration,
        action: () -> Unit,
    ): Unit = after(microsOf(pause), action)

    /** Runs all actions that are due within [time]. */
    fun run(time: Duration): Unit = runUntil(nowMicros + microsOf(time)) { false }

    private fun microsOf(time: Duration): Long = time.toNanos() / NANOS_PER_MICRO

    /** Runs all actions that are due up to [endMicros], or until [stop] returns true. */
    fun runUntil(
        endMicros: Long,
        stop: () -> Boolean,
    ) {
        while (!stop()) {
            val due = queue.peek()?.takeIf { it.atMicros <= endMicros } ?: break
            queue.remove()
            nowMicros = due.atMicros
            due.action()
        }
        if (!stop()) nowMicros = maxOf(nowMicros, endMicros)
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000L
    }
}

/**
 * A clock with an offset and a rate that differs from true time by [drift].
 *
 * With [boundMicros] the offset turns back when it reaches the bound, as a disciplined clock's does. Assumption A5
 * bounds the clocks of schedulers but not those of upstreams.
 */
internal class SkewedClock(
    private val timeline: Timeline,
    private val offsetMicros: Long,
    private val drift: Double,
    private val boundMicros: Long? = null,
) : InstantSource {
    override fun instant(): Instant = START.plus(timeline.nowMicros + errorMicros(), ChronoUnit.MICROS)

    override fun millis(): Long = instant().toEpochMilli()

    private fun errorMicros(): Long {
        val error = offsetMicros + (timeline.nowMicros * drift).toLong()
        if (boundMicros == null) return error
        val position = Math.floorMod(error + boundMicros, 4 * boundMicros)
        return if (position < 2 * boundMicros) position - boundMicros else 3 * boundMicros - position
    }

    companion object {
        /** True time at the start of every run. */
        val START: Instant = Instant.parse("2026-01-05T00:00:00Z")
    }
}
