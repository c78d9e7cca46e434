package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import java.time.Duration
import java.time.Instant

/** Guards against urgent steps that wait for advice behind the calls of steps with time to spare. */
class AdviceUnderLoadTest {
    private val now = Instant.ofEpochSecond(1_000_000)

    /** Batches have taken all helpers that they may use; the call for an urgent step takes 13 ms. */
    @ParameterizedTest
    @CsvSource("13", "40", "47")
    fun `an urgent call does not wait behind those of batches`(helpers: Int) {
        val limits = CellLimits()
        val balancer = AdviceCallBalancer(limits)
        balancer.setHelpers(List(helpers) { "vm-$it" })
        var calls = 0
        while (balancer.assign(stepOf(2_000), emptyList(), Duration.ofMillis(250), now) != null) calls++
        expectThat(calls).isGreaterThan(helpers)
        val urgent = Duration.ofMillis(13)
        val assigned = balancer.assign(stepOf(600), emptyList(), urgent, now)
        expectThat(assigned).isNotNull().get { timeout }.isEqualTo(urgent.plus(limits.adviceTimeout))
    }

    /** Run time and time left until the deadline, in milliseconds, and the longest pause between calls for tickets. */
    @ParameterizedTest
    @CsvSource(
        "600, 1500, false, 0",
        "2000, 5000, false, 0",
        "2000, 11000, false, 900",
        "2000, 60000, false, 2000",
        "2000, 60000, true, 0",
    )
    fun `only steps with time to spare wait until they renew their tickets`(
        runMillis: Long,
        leftMillis: Long,
        gang: Boolean,
        pauseMillis: Long,
    ) {
        expectThat(laxity(runMillis, leftMillis, gang).renewalPause).isEqualTo(Duration.ofMillis(pauseMillis))
    }

    /** A level stands for a factor of 1.2 in speed; -3 is 0.58 of the average. */
    @ParameterizedTest
    @CsvSource(
        "600, 1500, false, none",
        "2000, 2000, false, none",
        "2000, 4000, false, -1",
        "2000, 11000, false, -6",
        "2000, 11000, true, none",
    )
    fun `steps take slow upstreams only as far as they have time to spare`(
        runMillis: Long,
        leftMillis: Long,
        gang: Boolean,
        level: String,
    ) {
        expectThat(laxity(runMillis, leftMillis, gang).slowestTolerated?.toString() ?: "none").isEqualTo(level)
    }

    /** At its slowest level in time a step ends before its deadline, and one level below it does not. */
    @ParameterizedTest
    @CsvSource("4000, 4000", "4000, 9000", "4000, 3000", "500, 5000")
    fun `the slowest level in time is the last one that meets the deadline`(
        runMillis: Long,
        leftMillis: Long,
    ) {
        val level = laxity(runMillis, leftMillis, gang = true).slowestInTime
        expectThat(millisAt(runMillis, level)).isLessThanOrEqualTo(leftMillis.toDouble() + 1)
        expectThat(millisAt(runMillis, level - 1)).isGreaterThan(leftMillis.toDouble())
    }

    private fun millisAt(
        runMillis: Long,
        level: Int,
    ) = runMillis / Math.pow(LEVEL_RATIO, level.toDouble())

    private fun laxity(
        runMillis: Long,
        leftMillis: Long,
        gang: Boolean,
    ) = StepLaxity(stepOf(runMillis, gang), Rank(false, 0, 1, now.plusMillis(leftMillis)), now, CellLimits())

    private fun stepOf(
        runMillis: Long,
        gang: Boolean = false,
    ): StepRun {
        val spec = JobSpec("payload", listOf(step(2, millis = runMillis, gang = gang)))
        return JobRun(JobId("a"), SubmissionRecord("q", spec, now.toEpochMilli())).openOccurrence(0).single()
    }

    private companion object {
        const val LEVEL_RATIO = 1.2
    }
}
