package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.ResourceTotals
import org.anvilbarrow.kernel.workspaces.Workspace
import org.anvilbarrow.kernel.workspaces.WorkspaceDirectory
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration

/** Guards against decisions that an owner takes before it knows the configuration, as if there were no limits. */
class LateConfigurationTest {
    private val second = Duration.ofSeconds(1)

    /**
     * The queue allows three attempts. The last end arrives while the owner has no configuration, and is stored by it;
     * with more than one takeover, the owner that reads the configuration finds only the stored failures.
     */
    @ParameterizedTest
    @CsvSource("1, false", "1, true", "2, false", "2, true")
    fun `a task that failed unseen is not started beyond its attempts`(
        takeovers: Int,
        gang: Boolean,
    ) {
        val world = JobWorld(workers = 12, limits = CellLimits(failuresBeforeQuarantine = 100))
        world.run(second)
        world.workers.values.forEach { it.failsEverything = true }
        world.submit("a", step(2, millis = 300, gang = gang))
        repeat(400) { if (world.attempts() < MAX_ATTEMPTS) world.run(Duration.ofMillis(10)) }
        world.storeDown = true
        world.run(Duration.ofMillis(350))
        repeat(takeovers) {
            world.takeOver(configuredAfter = Duration.ofMillis(700))
            world.storeDown = false
            world.run(Duration.ofMillis(500))
        }
        world.run(second.multipliedBy(10))
        expectThat(world.attempts()).isEqualTo(MAX_ATTEMPTS)
        expectThat(world.phase("a")).isEqualTo(JobPhase.FAILED)
        expectThat(world.violations).isEmpty()
    }

    /** A new version of the configuration that allows fewer attempts ends jobs that have used more. */
    @Test
    fun `a lowered number of attempts applies to earlier failures`() {
        val world = JobWorld(workers = 1, queues = listOf(queue("q").copy(maxAttempts = 9)))
        world.run(second)
        world.workers.values.forEach { it.failsEverything = true }
        world.submit("a", step(1, millis = 100))
        // The upstream is quarantined after two failures, so the task waits.
        world.run(second)
        world.configure(listOf(queue("q").copy(maxAttempts = 2)))
        world.run(second.multipliedBy(10))
        expectThat(world.attempts()).isEqualTo(2)
        expectThat(world.phase("a")).isEqualTo(JobPhase.FAILED)
    }

    /** A task larger than its workspace may run is never started, so its job must not be accepted. */
    @Test
    fun `a submission waits for the limits of its workspace`() {
        val world = unconfigured(Duration.ofMillis(300))
        val call = world.submit("a", step(1, cpuMillicores = 4_000), workspace = "small")
        world.run(Duration.ofMillis(200))
        expectThat(world.answers[call]).isNull()
        world.run(Duration.ofMillis(200))
        expectThat(world.answers[call]).isA<JobAnswer.Invalid>()
    }

    @Test
    fun `a submission is refused if the configuration stays unknown`() {
        val world = unconfigured(second.multipliedBy(5))
        val call = world.submit("a", step(1, cpuMillicores = 4_000), workspace = "small")
        world.run(second)
        expectThat(world.answers[call]).isA<JobAnswer.Refused>()
        world.run(second.multipliedBy(10))
        expectThat(world.attempts()).isEqualTo(0)
    }

    /** Returns a cell whose new owner reads the configuration [after] its takeover. */
    private fun unconfigured(after: Duration): JobWorld {
        val small = Workspace("small", weight = 10.0, limit = ResourceTotals.limit(2_000, 0, 0))
        val world = JobWorld(workspaces = WorkspaceDirectory(listOf(small)))
        world.run(second)
        world.takeOver(configuredAfter = after)
        return world
    }

    /** Largest number of runs of one task. */
    private fun JobWorld.attempts(): Int =
        calls
            .mapNotNull { it.order as? UpstreamOrder.Start }
            .groupBy { it.task }
            .values
            .maxOfOrNull { orders -> orders.distinctBy { it.run }.size } ?: 0

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
