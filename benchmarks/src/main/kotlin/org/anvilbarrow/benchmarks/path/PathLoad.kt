package org.anvilbarrow.benchmarks.path

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.time.Duration
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** Sends one request and reads its answer to the end; returns false if it was not answered. */
internal fun interface PathClient {
    fun send(number: Int): Boolean
}

/** Nanoseconds that have passed on a monotonic clock. */
internal fun interface NanoClock {
    fun nanos(): Long
}

/** Latencies and throughput of one path. */
internal class PathFigures(
    val latenciesMicros: Histogram,
    val unanswered: Int,
    val elapsed: Duration,
) {
    val perSecond: Double get() = latenciesMicros.totalCount * NANOS_PER_SECOND / elapsed.toNanos()

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}

/** A closed loop: [callers] callers send one request after the other until [requests] were sent. */
internal class PathLoad(
    private val client: PathClient,
    private val clock: NanoClock,
    private val callers: Int,
) {
    /** Sends [requests] requests, numbered from [firstNumber]. */
    fun run(
        firstNumber: Int,
        requests: Int,
    ): PathFigures {
        val histogram = ConcurrentHistogram(LONGEST_MICROS, DIGITS)
        val next = AtomicInteger()
        val unanswered = AtomicInteger()
        val threads = Executors.newFixedThreadPool(callers)
        val start = clock.nanos()
        val loops =
            List(callers) {
                Callable {
                    var number = next.getAndIncrement()
                    while (number < requests) {
                        if (!timed(histogram, firstNumber + number)) unanswered.incrementAndGet()
                        number = next.getAndIncrement()
                    }
                }
            }
        threads.invokeAll(loops).forEach { it.get() }
        val elapsed = Duration.ofNanos(clock.nanos() - start)
        threads.shutdown()
        return PathFigures(histogram, unanswered.get(), elapsed)
    }

    private fun timed(
        histogram: ConcurrentHistogram,
        number: Int,
    ): Boolean {
        val start = clock.nanos()
        val answered = client.send(number)
        val micros = (clock.nanos() - start) / NANOS_PER_MICRO
        if (answered) histogram.recordValue(minOf(micros, LONGEST_MICROS))
        return answered
    }

    private companion object {
        const val LONGEST_MICROS = 60_000_000L
        const val DIGITS = 3
        const val NANOS_PER_MICRO = 1_000
    }
}
