package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.time.Duration

/** The account of a job must add up to its time, or operators look for a loss in the wrong place. */
class JobLatencyBreakdownTest {
    private fun accountOf(
        world: JobWorld,
        id: String,
    ): JobLatencyBreakdown {
        val line = world.decisions.single { it.kind == "job-ended" && it.subject == id }
        return expectThat(JobLatencyBreakdown.parse(line.detail)).isNotNull().subject
    }

    private val JobLatencyBreakdown.sum: Duration get() = delays.values.fold(work, Duration::plus)

    @Test
    fun `the second of two jobs that need the whole upstream waits for room`() {
        val world = JobWorld(workers = 1)
        world.run(Duration.ofSeconds(1))
        world.submit("a", step(1, cpuMillicores = 60_000, millis = 2_000))
        world.submit("b", step(1, cpuMillicores = 60_000), step(1, dependsOn = intArrayOf(0)))
        world.run(Duration.ofSeconds(8))
        val account = accountOf(world, "b")
        expectThat(account.phase).isEqualTo(JobPhase.COMPLETED)
        expectThat(account.mainCause).isEqualTo(DelayCause.CAPACITY)
        expectThat(account.delays.getValue(DelayCause.CAPACITY)).isGreaterThan(Duration.ofMillis(1_800))
        expectThat((account.sum - account.took).abs() < Duration.ofMillis(ROUNDING_MILLIS)).isEqualTo(true)
    }

    private companion object {
        /** Each of the six parts is rounded down to milliseconds. */
        const val ROUNDING_MILLIS = 7L
    }
}
