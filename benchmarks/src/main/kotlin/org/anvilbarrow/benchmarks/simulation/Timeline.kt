package org.anvilbarrow.benchmarks.simulation

import java.time.Instant
import java.time.InstantSource
import java.time.temporal.ChronoUnit
import java.util.PriorityQueue

/** A controlled clock that runs scheduled actions in the order of their times; equal times run in scheduling order. */
internal class Timeline(
    private val start: Instant = Instant.parse("2026-01-05T06:00:00Z"),
) : InstantSource {
    private val queue = PriorityQueue<Scheduled>()
    private var scheduled = 0L

    /** Time since the start of the simulation. */
    var nowMicros: Long = 0
        private set

    override fun instant(): Instant = start.plus(nowMicros, ChronoUnit.MICROS)

    fun at(
        atMicros: Long,
        action: () -> Unit,
    ) {
        check(atMicros >= nowMicros) { "action at $atMicros us scheduled at $nowMicros us" }
        queue += Scheduled(atMicros, scheduled++, action)
    }

    fun after(
        delayMicros: Long,
        action: () -> Unit,
    ) = at(nowMicros + delayMicros, action)

    /** Runs [action] every [periodMicros], first after [firstMicros]. */
    fun every(
        periodMicros: Long,
        firstMicros: Long,
        action: () -> Unit,
    ) {
        after(firstMicros) {
            action()
            every(periodMicros, periodMicros, action)
        }
    }

    fun runUntil(endMicros: Long) {
        while (queue.isNotEmpty() && queue.peek().atMicros <= endMicros) {
            val next = queue.poll()
            nowMicros = next.atMicros
            next.action()
        }
        nowMicros = endMicros
    }

    private class Scheduled(
        val atMicros: Long,
        private val order: Long,
        val action: () -> Unit,
    ) : Comparable<Scheduled> {
        override fun compareTo(other: Scheduled): Int {
            val byTime = atMicros.compareTo(other.atMicros)
            return if (byTime != 0) byTime else order.compareTo(other.order)
        }
    }
}

/** Microseconds in a millisecond. */
internal const val MICROS_PER_MILLI: Long = 1_000

/** Microseconds in a second. */
internal const val MICROS_PER_SECOND: Long = 1_000_000
