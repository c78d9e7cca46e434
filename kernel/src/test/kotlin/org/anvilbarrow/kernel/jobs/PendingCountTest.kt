package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.time.Duration

/** Guards against jobs that count as started although no upstream has started any of their tasks, and the reverse. */
class PendingCountTest {
    private val second = Duration.ofSeconds(1)

    /** Ways in which start orders fail to start anything. */
    enum class Fault { CUT_OFF, CUT_OFF_AFTER_RESTART, LOST_FOR_GOOD, REJECTED }

    @ParameterizedTest
    @EnumSource
    fun `jobs whose start orders started nothing are pending`(fault: Fault) {
        val world = faulty(fault)
        expectThat(world.calls.count { it.order is UpstreamOrder.Start }).isGreaterThanOrEqualTo(JOBS)
        repeat(50) {
            world.run(Duration.ofMillis(100))
            expectThat(world.pending()).isEqualTo(JOBS)
            expectThat(world.phase("a0")).isEqualTo(JobPhase.QUEUED)
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `jobs whose start orders started nothing are pending for a successor`(fault: Fault) {
        val world = faulty(fault)
        world.run(second.multipliedBy(2))
        world.takeOver()
        repeat(50) {
            world.run(Duration.ofMillis(100))
            expectThat(world.pending()).isEqualTo(JOBS)
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a job that has started is not pending after the loss of its upstreams`(takeover: Boolean) {
        val world = JobWorld(workers = 2)
        world.run(second)
        world.submit("a", step(1, millis = 60_000))
        world.run(second)
        expectThat(world.pending()).isEqualTo(0)
        world.workers.values.forEach { it.crash(Duration.ofMinutes(10)) }
        repeat(100) {
            if (takeover && it == 1) world.takeOver()
            world.run(Duration.ofMillis(100))
            expectThat(world.pending()).isEqualTo(0)
            expectThat(world.phase("a")).isEqualTo(JobPhase.RUNNING)
        }
    }

    /** The answer to the start order is lost; an observe request lists the run, or its end. */
    @ParameterizedTest
    @ValueSource(longs = [50, 20_000])
    fun `a job whose start was not confirmed is not pending once its run or its end is listed`(taskMillis: Long) {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.losesAnswersToStarts = true
        world.submit("a", step(2, cpuMillicores = 64_000, millis = taskMillis))
        world.run(second.multipliedBy(3))
        expectThat(world.startedJobs.toSet()).isEqualTo(setOf(JobId("a")))
        expectThat(world.pending()).isEqualTo(0)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `jobs without room are pending until they start`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        repeat(3) { world.submit("a$it", step(1, cpuMillicores = 64_000, millis = 1_000)) }
        world.run(Duration.ofMillis(100))
        repeat(60) {
            world.run(Duration.ofMillis(100))
            expectThat(world.pending()).isEqualTo(3 - world.startedJobs.size)
        }
        expectThat(world.startedJobs.size).isEqualTo(3)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `no waiting job is missing in the count while upstreams restart and are cut off`(seed: Int) {
        val day = RandomRestartDay(seed)
        day.play { waiting -> expectThat(day.world.pending() ?: 0).isGreaterThanOrEqualTo(waiting) }
        expectThat(day.world.pending()).isEqualTo(0)
    }

    /** Returns a cell with [JOBS] stored jobs, and room for all, whose start orders meet [fault]. */
    private fun faulty(fault: Fault): JobWorld {
        val world = JobWorld(workers = 4)
        world.run(second)
        inflict(fault, world)
        repeat(JOBS) { world.submit("a$it", step(2, cpuMillicores = 1_000, millis = 20_000)) }
        world.run(Duration.ofMillis(100))
        return world
    }

    private fun inflict(
        fault: Fault,
        world: JobWorld,
    ) {
        when (fault) {
            Fault.CUT_OFF -> world.unreachable += world.workers.keys
            Fault.CUT_OFF_AFTER_RESTART -> {
                world.workers.values.forEach { world.losePower(it, RESTART_TIME) }
                world.run(second.multipliedBy(4))
                world.unreachable += world.workers.keys
            }
            Fault.LOST_FOR_GOOD -> world.workers.values.forEach { it.crash(Duration.ofMinutes(10)) }
            Fault.REJECTED -> world.workers.values.forEach { it.rejectsStarts = true }
        }
    }

    private companion object {
        const val JOBS = 20
        val RESTART_TIME: Duration = Duration.ofMillis(600)
    }
}
