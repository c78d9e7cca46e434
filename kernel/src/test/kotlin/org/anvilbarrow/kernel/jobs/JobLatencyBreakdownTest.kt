package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.time.Duration

/** Guards against delays that are attributed to the wrong cause, or do not add up to the latency of the job. */
class JobLatencyBreakdownTest {
    private fun breakdownOf(
        world: JobWorld,
        id: String,
    ): JobLatencyBreakdown {
        val line = world.decisions.single { it.kind == "job-ended" && it.subject == id }
        return expectThat(JobLatencyBreakdown.parse(line.detail)).isNotNull().subject
    }

    private val JobLatencyBreakdown.sum: Duration get() = delays.values.fold(work, Duration::plus)

    @Test
    fun `the second of two jobs that need the whole upstream is delayed by lack of capacity`() {
        val world = JobWorld(workers = 1)
        world.run(Duration.ofSeconds(1))
        world.submit("a", step(1, cpuMillicores = 60_000, millis = 2_000))
        world.submit("b", step(1, cpuMillicores = 60_000), step(1, dependsOn = intArrayOf(0)))
        world.run(Duration.ofSeconds(8))
        val breakdown = breakdownOf(world, "b")
        expectThat(breakdown.phase).isEqualTo(JobPhase.COMPLETED)
        expectThat(breakdown.mainCause).isEqualTo(DelayCause.CAPACITY)
        expectThat(breakdown.delays.getValue(DelayCause.CAPACITY)).isGreaterThan(Duration.ofMillis(1_800))
        expectThat((breakdown.sum - breakdown.took).abs() < Duration.ofMillis(ROUNDING_MILLIS)).isEqualTo(true)
    }

    private companion object {
        /** Five delays and the work, each rounded down to milliseconds. */
        const val ROUNDING_MILLIS = 7L
    }
}
