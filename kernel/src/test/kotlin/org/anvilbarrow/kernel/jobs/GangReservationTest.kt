package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.time.Duration

/** Guards against upstreams that are kept free for a gang which cannot start there beside tasks that last. */
class GangReservationTest {
    private val second = Duration.ofSeconds(1)

    /** Eight tasks of 30 cores fit on four idle upstreams of 64 cores, but not beside tasks of 6 cores that last. */
    @ParameterizedTest
    @CsvSource("8, false", "8, true", "2, true", "2, false")
    fun `a task that lasts starts again at once beside a gang that waits`(
        gangTasks: Int,
        sameRack: Boolean,
    ) {
        val world = worldWithService(lastingMillicores = 6_000)
        world.submit("gang", gang(gangTasks, sameRack))
        world.run(second)
        val worker = world.workers.values.first()
        worker.fail(worker.running.keys.first { it.step.job.value == "service" })
        val failedAt = world.now
        repeat(2_000) { if (world.runningOf("service") < world.workers.size) world.run(Duration.ofMillis(10)) }
        expectThat(Duration.between(failedAt, world.now)).isLessThan(Duration.ofSeconds(3))
        expectThat(world.violations).isEmpty()
    }

    /** No rack can hold the gang beside the tasks that last, so it runs on several although that is slower. */
    @Test
    fun `a gang that no rack can hold beside tasks that last runs on several`() {
        val world = worldWithService(lastingMillicores = 6_000)
        world.submit("gang", gang(tasks = 3, sameRack = true))
        world.run(second.multipliedBy(3))
        expectThat(world.runningOf("gang")).isEqualTo(3)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `batches start beside a gang that cannot`() {
        val world = worldWithService(lastingMillicores = 6_000)
        world.submit("gang", gang(tasks = 8, sameRack = false))
        world.run(Duration.ofMillis(200))
        world.submit("batch", step(4, cpuMillicores = 20_000, millis = 500))
        world.run(second.multipliedBy(3))
        expectThat(world.phase("batch")).isEqualTo(JobPhase.COMPLETED)
    }

    /** Reservations go on where they help: tasks that end keep off the upstreams that a gang waits for. */
    @Test
    fun `a gang that fits beside tasks that last is not starved by batches`() {
        val world = worldWithService(lastingMillicores = 2_000)
        repeat(60) { index ->
            world.after(Duration.ofMillis(100L * index)) {
                world.submit("batch-$index", step(4, cpuMillicores = 16_000, millis = 1_000), queue = "low")
            }
        }
        world.run(second)
        world.submit("gang", gang(tasks = 8, sameRack = false))
        world.run(second.multipliedBy(5))
        expectThat(world.runningOf("gang")).isGreaterThan(0)
    }

    /** Returns a cell of four upstreams of 64 cores in two racks, each with one task that lasts. */
    private fun worldWithService(lastingMillicores: Int): JobWorld {
        val world = JobWorld(workers = 4, queues = listOf(queue("q", stretch = 4.0), queue("low", priority = 2)))
        world.workers.values.forEachIndexed { index, worker -> worker.rack = "r${index / 2}" }
        world.run(second)
        val size = Resources(lastingMillicores, 1_000)
        world.submit("service", StepSpec(4, size, LASTING_MILLIS, longRunning = true, maxPerUpstream = 1))
        world.run(second.multipliedBy(2))
        expectThat(world.runningOf("service")).isEqualTo(4)
        return world
    }

    private fun gang(
        tasks: Int,
        sameRack: Boolean,
    ) = StepSpec(tasks, Resources(30_000, 1_000), GANG_MILLIS, gang = true, sameRack = sameRack)

    private fun JobWorld.runningOf(job: String): Int =
        workers.values.sumOf { worker -> worker.running.keys.count { it.step.job.value == job } }

    private companion object {
        const val LASTING_MILLIS = 3_600_000L
        const val GANG_MILLIS = 12_000L
    }
}
