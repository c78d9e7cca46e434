package org.anvilbarrow.kernel.runtimes

import kotlin.math.sqrt

/**
 * Relation between the estimates of the callers of one queue and the run times of their tasks: a linear regression of
 * logarithms over the steps that ended last.
 *
 * Rough estimates hold little information, so expected times lie between the estimate and the usual time of the queue.
 * Takes constant memory. Confined to one thread.
 */
internal class QueueRunTimes {
    private var weight = 0.0
    private var meanX = 0.0
    private var meanY = 0.0
    private var varianceX = 0.0
    private var covariance = 0.0

    /** Variance of the logarithm of a step's run time around [expected]. */
    var variance = INITIAL_VARIANCE
        private set

    /** Variance of the logarithms of run times within a step. */
    var varianceWithin = INITIAL_VARIANCE_WITHIN
        private set

    /** Returns the expected logarithm of the run time of a task with an estimate of e^[logEstimate]. */
    fun expected(logEstimate: Double): Double {
        val learned = meanY + slope() * (logEstimate - meanX)
        val confidence = weight / (weight + PRIOR_STEPS)
        return confidence * learned + (1 - confidence) * logEstimate
    }

    /** With estimates that hardly differ, the slope is not known, and estimates count in full. */
    private fun slope(): Double = if (varianceX < MIN_VARIANCE) 1.0 else (covariance / varianceX).coerceIn(0.0, 1.0)

    /** Learns that the tasks of a step with [logEstimate] took e^[logTime], the median of [tasks] run times. */
    fun learn(
        logEstimate: Double,
        logTime: Double,
        tasks: Int,
    ) {
        val bound = OUTLIER_DEVIATIONS * sqrt(variance + varianceWithin / tasks)
        val expected = expected(logEstimate)
        val deviation = (logTime - expected).coerceIn(-bound, bound)
        val bounded = expected + deviation
        weight = minOf(weight + 1, WINDOW_STEPS)
        val gain = 1 / weight
        variance = moved(variance, deviation * deviation, VARIANCE_WINDOW_STEPS)
        val fromX = logEstimate - meanX
        val fromY = bounded - meanY
        meanX += gain * fromX
        meanY += gain * fromY
        varianceX = (1 - gain) * (varianceX + gain * fromX * fromX)
        covariance = (1 - gain) * (covariance + gain * fromX * fromY)
    }

    /** Learns that the logarithm of a run time was [deviation] from the mean of the others of its step. */
    fun learnWithin(deviation: Double) {
        val bound = OUTLIER_DEVIATIONS * sqrt(varianceWithin)
        val bounded = deviation.coerceIn(-bound, bound)
        varianceWithin = moved(varianceWithin, bounded * bounded, VARIANCE_WINDOW_TASKS)
    }

    private fun moved(
        old: Double,
        sample: Double,
        window: Int,
    ): Double = maxOf(old + (sample - old) / window, MIN_VARIANCE)

    private companion object {
        /** Older steps count less and less, so that the relation follows a change of the work. */
        const val WINDOW_STEPS = 300.0

        /** Steps after which the learned relation counts as much as the caller's estimate. */
        const val PRIOR_STEPS = 20.0
        const val VARIANCE_WINDOW_STEPS = 50
        const val VARIANCE_WINDOW_TASKS = 400
        const val INITIAL_VARIANCE = 0.25
        const val INITIAL_VARIANCE_WITHIN = 0.09
        const val MIN_VARIANCE = 0.0025
        const val OUTLIER_DEVIATIONS = 3.0
    }
}
