package org.anvilbarrow.kernel.runtimes

import java.time.Duration
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** Run time of one task that ended as done, and the upstream that it ran on. */
public class TaskRunTime(
    public val speed: UpstreamSpeed,
    public val time: Duration,
)

/**
 * Learns from finished steps how long tasks run: by queue, relative to the caller's estimate, and by upstream.
 *
 * The times of the tasks of one step are compared with each other, which tells the speeds of their upstreams apart
 * however wrong the estimate was. It takes a few numbers for each queue, and is confined to one thread:
 * ```
 * model.learn("q", estimate, times)
 * val expected = model.expected("q", estimate)
 * ```
 */
public class RunTimeModel {
    private val queues = HashMap<String, QueueRunTimes>()

    /** Average of the logarithms of the speeds on which tasks ran lately; expected times are those at this speed. */
    private var averageSpeed = 0.0

    /** Returns how long a task with [estimate] is expected to run on an upstream of average speed. */
    public fun expected(
        queue: String,
        estimate: Duration,
    ): Duration {
        val known = queues[queue] ?: return estimate
        if (estimate.isZero) return estimate
        return Duration.ofMillis(exp(known.expected(ln(estimate.toMillis().toDouble()))).toLong())
    }

    /** Learns from the [times] of a step of [queue] whose tasks ran one by one. */
    public fun learn(
        queue: String,
        estimate: Duration,
        times: List<TaskRunTime>,
    ) {
        if (times.isEmpty() || estimate.isZero) return
        val known = queues.getOrPut(queue, ::QueueRunTimes)
        val logEstimate = ln(estimate.toMillis().toDouble())
        val logTimes = times.map { logTime(it.time, it.speed) }
        learnSpeeds(known, known.expected(logEstimate), times, logTimes)
        known.learn(logEstimate, logTimes.sorted()[logTimes.size / 2], logTimes.size)
    }

    /** Learns from the common [time] of a gang of [queue], whose slowest member runs on an upstream of [speed]. */
    public fun learnGang(
        queue: String,
        estimate: Duration,
        time: Duration,
        speed: UpstreamSpeed,
    ) {
        if (estimate.isZero) return
        val logEstimate = ln(estimate.toMillis().toDouble())
        queues.getOrPut(queue, ::QueueRunTimes).learn(logEstimate, logTime(time, speed), tasks = 1)
    }

    /** Returns the logarithm of the time that a run of [time] on an upstream of [speed] takes at the average speed. */
    private fun logTime(
        time: Duration,
        speed: UpstreamSpeed,
    ): Double = ln(time.toMillis().coerceAtLeast(1).toDouble()) + speed.logarithm - averageSpeed

    /**
     * Compares each of [logTimes], which are adjusted to the average speed, with what the others of the step and the
     * estimate, which suggests [expected], let expect.
     */
    private fun learnSpeeds(
        known: QueueRunTimes,
        expected: Double,
        times: List<TaskRunTime>,
        logTimes: List<Double>,
    ) {
        val prior = 1 / known.variance
        val each = 1 / known.varianceWithin
        val sum = logTimes.sum()
        val others = logTimes.size - 1
        times.forEachIndexed { index, task ->
            val sumOfOthers = sum - logTimes[index]
            val precision = prior + others * each
            val center = (prior * expected + each * sumOfOthers) / precision
            val sample = center - logTimes[index] + task.speed.logarithm
            task.speed.learn(sample, known.varianceWithin + 1 / precision)
            averageSpeed += (task.speed.logarithm - averageSpeed) / AVERAGE_WINDOW_TASKS
            if (others > 0) {
                val spread = others / (others + 1.0)
                known.learnWithin((logTimes[index] - sumOfOthers / others) * sqrt(spread))
            }
        }
    }

    private companion object {
        const val AVERAGE_WINDOW_TASKS = 500
    }
}
