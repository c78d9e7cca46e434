package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against gangs that are failed early, because each member that fails counts as an attempt of the gang. */
class GangFailureTest {
    private val second = Duration.ofSeconds(1)

    /** The queue allows three attempts; on upstreams that fail all they start, several members of one run fail. */
    @ParameterizedTest
    @CsvSource("2, 1, COMPLETED", "8, 1, COMPLETED", "8, 2, COMPLETED", "8, 3, FAILED")
    fun `a gang has failed as often as its runs have`(
        tasks: Int,
        failedRuns: Int,
        phase: JobPhase,
    ) {
        val world = JobWorld(workers = 4)
        world.run(second)
        world.workers.values.forEach { it.failsEverything = true }
        world.submit("a", step(tasks, cpuMillicores = 20_000, millis = 500, gang = true))
        repeat(1_000) { if (world.gangRuns() < failedRuns) world.run(Duration.ofMillis(10)) }
        world.run(Duration.ofMillis(250))
        world.workers.values.forEach { it.failsEverything = failedRuns == MAX_ATTEMPTS }
        world.run(second.multipliedBy(30))
        expectThat(world.phase("a")).isEqualTo(phase)
        expectThat(world.violations).isEmpty()
    }

    /** All members of a gang have one run number. */
    private fun JobWorld.gangRuns(): Int =
        calls
            .mapNotNull { (it.order as? UpstreamOrder.Start)?.run }
            .distinct()
            .size

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
