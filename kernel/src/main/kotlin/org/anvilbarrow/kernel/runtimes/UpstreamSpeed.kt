package org.anvilbarrow.kernel.runtimes

import java.time.Duration
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.sign
import kotlin.math.sqrt

/**
 * Estimated speed of one upstream relative to the others of its pool, learned from the run times of tasks.
 *
 * The logarithm of the speed is a mean weighted by precision, with a prior at the average speed, so that few samples
 * change little. The precision is bounded, so that the estimate follows an upstream that turns slow:
 * ```
 * speed.learn(logSpeed = ln(2.0), variance = 0.1)
 * val time = speed.timeOf(average)
 * ```
 * Confined to one thread.
 */
public class UpstreamSpeed {
    private var precision = PRIOR_PRECISION

    /** Natural logarithm of the expected speed; 0 is the average. */
    public var logarithm: Double = 0.0
        private set

    /** Returns the expected time here of a task that takes [average] on an upstream of average speed. */
    public fun timeOf(average: Duration): Duration = Duration.ofMillis((average.toMillis() / exp(logarithm)).toLong())

    /** Standard deviation of [logarithm]. */
    private val uncertainty: Double get() = sqrt(1 / precision)

    /**
     * Returns the speed in steps of [LEVEL_RATIO], 0 near the [average] of the logarithms.
     *
     * The part of the difference that may be chance does not count, so an upstream of which little is known is average.
     */
    public fun level(average: Double): Int {
        val difference = logarithm - average
        val certain = maxOf(abs(difference) - uncertainty, 0.0)
        return (sign(difference) * certain / LOG_LEVEL_RATIO).roundToInt()
    }

    /**
     * Learns from a run that suggests [logSpeed] with [variance].
     *
     * A sample beyond [OUTLIER_DEVIATIONS] counts as one at that bound, as some tasks are stragglers by themselves.
     */
    public fun learn(
        logSpeed: Double,
        variance: Double,
    ) {
        val bound = OUTLIER_DEVIATIONS * sqrt(variance + 1 / precision)
        val deviation = (logSpeed - logarithm).coerceIn(-bound, bound)
        val weight = 1 / variance
        logarithm += deviation * weight / (precision + weight)
        precision = minOf(precision + weight, MAX_PRECISION)
    }

    public companion object {
        /** Returns the average of the logarithms of [speeds], or 0 if there are none. */
        public fun averageOf(speeds: Collection<UpstreamSpeed>): Double =
            speeds.sumOf { it.logarithm } / maxOf(speeds.size, 1)

        /** Ratio of the speeds of neighbouring levels. */
        public const val LEVEL_RATIO: Double = 1.2
        private val LOG_LEVEL_RATIO = ln(LEVEL_RATIO)

        /** Speeds of upstreams differ by about 0.3 before anything is known of them. */
        private const val PRIOR_PRECISION = 1 / (0.3 * 0.3)

        /** With a standard deviation of 0.1, about seven samples bring the estimate half the way to a changed speed. */
        private const val MAX_PRECISION = 1 / (0.1 * 0.1)
        private const val OUTLIER_DEVIATIONS = 2.0
    }
}
