package org.anvilbarrow.kernel.runtimes

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import java.time.Duration
import java.util.Random
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/** Guards against expected times and speeds that are worse than none: drawn to stragglers, chance or old values. */
class RunTimeModelTest {
    /** Work of a queue: run times around a mean, with rough estimates, uneven tasks and a few stragglers. */
    private class Work(
        seed: Long,
        private val estimateError: Double,
        private val unevenness: Double = 0.15,
        private val bias: Double = 1.0,
    ) {
        val random = Random(seed)
        val speeds = List(UPSTREAMS) { UpstreamSpeed() }
        val model = RunTimeModel()

        class Job(
            val estimate: Duration,
            val time: Double,
        )

        fun job(): Job {
            val time = MEAN_MILLIS * exp(SPREAD * random.nextGaussian())
            return Job(millis(time / bias * exp(estimateError * random.nextGaussian())), time)
        }

        fun learn(
            steps: Int,
            speedOf: (Int) -> Double,
        ) {
            repeat(steps) {
                val job = job()
                val times =
                    List(1 + random.nextInt(MAX_TASKS)) {
                        val upstream = random.nextInt(UPSTREAMS)
                        val straggler = if (random.nextInt(STRAGGLER_ONE_IN) == 0) STRAGGLER_FACTOR else 1.0
                        val time = job.time * straggler * exp(unevenness * random.nextGaussian()) / speedOf(upstream)
                        TaskRunTime(speeds[upstream], millis(time))
                    }
                model.learn(QUEUE, job.estimate, times)
            }
        }

        /** Returns the mean error of the logarithm of the estimate, and of the expected time. */
        fun errors(): Pair<Double, Double> {
            val jobs = List(ERROR_SAMPLES) { job() }
            return jobs.map { abs(ln(it.estimate.toMillis() / it.time)) }.average() to
                jobs.map { abs(ln(model.expected(QUEUE, it.estimate).toMillis() / it.time)) }.average()
        }

        private fun millis(value: Double) = Duration.ofMillis(value.toLong().coerceAtLeast(1))
    }

    @ParameterizedTest
    @CsvSource(
        // Estimates without much information: the usual time of the queue is the better guess.
        "0.9, 1.0, 0.7",
        // Estimates that are right but for a constant factor.
        "0.1, 2.0, 0.3",
        "0.1, 0.5, 0.3",
        // Good estimates must not become worse by more than chance.
        "0.2, 1.0, 1.1",
    )
    fun `expected times are closer than estimates`(
        estimateError: Double,
        bias: Double,
        maxRatio: Double,
    ) {
        for (seed in 1L..5L) {
            val work = Work(seed, estimateError, bias = bias)
            work.learn(steps = 400) { 1.0 }
            val (ofEstimate, ofExpected) = work.errors()
            expectThat(ofExpected / ofEstimate).isLessThan(maxRatio)
        }
    }

    @Test
    fun `the estimate decides while little is known`() {
        val work = Work(1, estimateError = 0.2)
        val estimate = Duration.ofMillis(1_000)
        expectThat(work.model.expected(QUEUE, estimate)).isEqualTo(estimate)
        work.model.learn(QUEUE, estimate, listOf(TaskRunTime(work.speeds[0], Duration.ofMillis(4_000))))
        expectThat(work.model.expected(QUEUE, estimate)).isIn(Duration.ofMillis(900)..Duration.ofMillis(1_200))
        expectThat(work.speeds[0].level(average = 0.0)).isEqualTo(0)
    }

    /** The speeds differ as little as 0.8 to 1.25; estimates are off by up to a factor of e. */
    @ParameterizedTest
    @CsvSource("0.2, 0.8, 1.25", "0.9, 0.8, 1.25", "0.2, 0.6, 1.6", "0.9, 0.6, 1.6")
    fun `upstreams of different speed are told apart`(
        estimateError: Double,
        slow: Double,
        fast: Double,
    ) {
        for (seed in 1L..5L) {
            val work = Work(seed, estimateError)
            work.learn(steps = 300) { listOf(slow, 1.0, fast)[it % 3] }
            val average = work.speeds.map { it.logarithm }.average()
            val levels = work.speeds.map { it.level(average) }
            val wrong = levels.withIndex().count { (index, level) -> level * (index % 3 - 1) < 0 }
            expectThat(wrong).isEqualTo(0)
            val fastest = levels.filterIndexed { index, _ -> index % 3 == 2 }
            expectThat(fastest.average()).isGreaterThan(0.5)
            val slowest = levels.filterIndexed { index, _ -> index % 3 == 0 }
            expectThat(slowest.average()).isLessThan(-0.5)
        }
    }

    /** Chance must not send work to some upstreams of a pool and away from others. */
    @Test
    fun `upstreams of one speed are rarely told apart`() {
        for (seed in 1L..5L) {
            val work = Work(seed, estimateError = 0.9)
            work.learn(steps = 400) { 1.0 }
            val average = work.speeds.map { it.logarithm }.average()
            expectThat(work.speeds.count { it.level(average) != 0 }).isLessThan(UPSTREAMS / 4)
        }
    }

    @Test
    fun `an upstream that turns slow is noticed`() {
        val work = Work(1, estimateError = 0.2)
        work.learn(steps = 300) { 1.0 }
        // About 15 tasks on each upstream.
        work.learn(steps = 100) { if (it == 0) 0.4 else 1.0 }
        val average = work.speeds.map { it.logarithm }.average()
        expectThat(work.speeds[0].level(average)).isLessThan(-1)
    }

    @Test
    fun `a single straggler changes little`() {
        val work = Work(1, estimateError = 0.2)
        work.learn(steps = 300) { 1.0 }
        val before = work.speeds[0].logarithm
        work.model.learn(
            QUEUE,
            Duration.ofMillis(2_000),
            listOf(
                TaskRunTime(work.speeds[0], Duration.ofMillis(60_000)),
                TaskRunTime(work.speeds[1], Duration.ofMillis(2_000)),
            ),
        )
        expectThat(abs(work.speeds[0].logarithm - before)).isLessThan(0.15)
    }

    private companion object {
        const val QUEUE = "q"
        const val UPSTREAMS = 30
        const val MEAN_MILLIS = 2_000.0
        const val SPREAD = 0.5
        const val MAX_TASKS = 9
        const val STRAGGLER_ONE_IN = 33
        const val STRAGGLER_FACTOR = 7.0
        const val ERROR_SAMPLES = 400
    }
}
