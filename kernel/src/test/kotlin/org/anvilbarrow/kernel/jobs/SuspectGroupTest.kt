package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.time.Duration

/** Many tasks are suspected of one crash: they are told apart without waiting for each other. */
class SuspectGroupTest {
    private val second = Duration.ofSeconds(1)

    private fun world(
        workers: Int,
        jobs: Int,
        spec: StepSpec = SMALL,
    ) = JobWorld(workers, limits = CellLimits(retention = Duration.ofMinutes(10))).apply {
        run(second)
        repeat(jobs) { submit("job$it", spec) }
        run(second.multipliedBy(2))
    }

    private fun JobWorld.fullest(): FakeWorker = workers.values.maxBy { it.running.size }

    /** Cuts the power of the upstream that runs most tasks, for longer than the test lasts. */
    private fun JobWorld.loseFullest() {
        val lost = fullest()
        lost.listed = false
        losePower(lost, second.multipliedBy(600))
    }

    /** Returns how many jobs of [count] have nothing running for the next 3 s, and are not done. */
    private fun JobWorld.idleJobs(count: Int): Int {
        val idle = (0 until count).map { "job$it" }.filter { phase(it) != JobPhase.COMPLETED }.toHashSet()
        repeat(60) {
            run(Duration.ofMillis(50))
            workers.values.flatMap { it.running.keys }.forEach { idle -= it.step.job.value }
        }
        return idle.size
    }

    /** Guards against tasks that wait for the trials of others, one by one, after the loss of one upstream. */
    @ParameterizedTest
    @CsvSource(
        "8, 20, false",
        "8, 200, false",
        "8, 200, true",
        "4, 200, false",
        "2, 100, false",
        "8, 100, true",
    )
    fun `all tasks of a lost upstream run again 14 s later`(
        workers: Int,
        jobs: Int,
        gang: Boolean,
    ) {
        val world = world(workers, jobs, SMALL.copy(gang = gang))
        expectThat(world.fullest().running.size).isEqualTo(jobs)
        world.loseFullest()
        world.run(second.multipliedBy(14))
        expectThat(world.idleJobs(jobs)).isEqualTo(0)
        world.run(second.multipliedBy(60))
        repeat(jobs) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
        expectThat(world.violations).isEmpty()
    }

    /** Guards against a crashing task that hides among others: it is given up, and nobody else is. */
    @ParameterizedTest
    @CsvSource(
        "8, 200, 0, 0",
        "8, 200, 150, 0",
        "8, 200, 900, 0",
        "8, 200, 150, 700",
        "8, 200, 900, 1900",
        "8, 60, 0, 0",
        "8, 60, 150, 1100",
        "4, 60, 150, 0",
        "4, 60, 900, 2300",
        "3, 24, 150, 0",
    )
    fun `a crashing task among many others is found within three crashes`(
        workers: Int,
        jobs: Int,
        crashDelayMillis: Long,
        takeoverIntervalMillis: Long,
    ) {
        val world = world(workers, jobs)
        world.crashDelay =
            { task -> Duration.ofMillis(crashDelayMillis).takeIf { task.step.job.value == DEADLY } }
        world.downTime = second.multipliedBy(5)
        world.submit(DEADLY, SMALL)
        repeat(if (takeoverIntervalMillis > 0) 8 else 0) {
            world.run(Duration.ofMillis(takeoverIntervalMillis))
            world.takeOver()
        }
        world.run(second.multipliedBy(120))
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
        repeat(jobs) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
        if (takeoverIntervalMillis == 0L) expectThat(world.crashes).isLessThanOrEqualTo(3)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against tasks with two crashes each that cannot be told apart by the next one. */
    @ParameterizedTest
    @CsvSource("8, 200", "4, 60", "3, 24")
    fun `a task with two crashes is tried alone`(
        workers: Int,
        jobs: Int,
    ) {
        val world = world(workers, jobs)
        world.crashDelay = { task -> Duration.ofMillis(150).takeIf { task.step.job.value == DEADLY } }
        world.downTime = second.multipliedBy(5)
        world.submit(DEADLY, SMALL)
        repeat(2_400) {
            world.run(Duration.ofMillis(50))
            val accompanied = world.workers.values.filter { worker -> worker.hasIsolatedTaskInCompany(world) }
            expectThat(accompanied.isEmpty()).isTrue()
        }
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
    }

    /** Guards against one check after the other of an upstream that does not answer, while its suspects wait. */
    @Test
    fun `suspects on an upstream that does not answer are given back together`() {
        val world = world(workers = 3, jobs = 60)
        val waiting = world.workers.values.filter { it.running.isEmpty() }
        world.loseFullest()
        world.delayOf = { order ->
            second.multipliedBy(5).takeIf { order is UpstreamOrder.Stop && order.upstream == waiting.first().id }
        }
        world.run(second.multipliedBy(12))
        val checks =
            world.calls
                .map {
                    it.order
                }.filter { it is UpstreamOrder.Stop && it.upstream == waiting.first().id }
        expectThat(checks.size).isLessThanOrEqualTo(5)
        expectThat(world.idleJobs(60)).isEqualTo(0)
        expectThat(world.violations).isEmpty()
    }

    /** True if a task under which two upstreams crashed has just started beside another suspect. */
    private fun FakeWorker.hasIsolatedTaskInCompany(world: JobWorld): Boolean {
        val young = running.values.filter { Duration.between(it.startedAt, world.now) < second }
        val crashes = young.map { world.maxCrashesUnder(it.task.step.job.value) }
        return crashes.any { it >= 2 } && crashes.count { it > 0 } > 1
    }

    private companion object {
        const val DEADLY = "deadly"

        /** A task that is small against an upstream of 64 processors. */
        val SMALL = step(1, cpuMillicores = 300, millis = 12_000)
    }
}
