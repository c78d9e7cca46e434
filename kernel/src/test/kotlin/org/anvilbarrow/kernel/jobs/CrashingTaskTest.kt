package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.CrashRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

/** Tasks that crash the upstreams that start them. */
class CrashingTaskTest {
    private val second = Duration.ofSeconds(1)

    private fun world(
        workers: Int,
        crashDelay: Duration = Duration.ZERO,
        isDeadly: (TaskRef) -> Boolean = { it.step.job.value == DEADLY },
    ) = JobWorld(workers, limits = CellLimits(retention = Duration.ofMinutes(10))).apply {
        this.crashDelay = { if (isDeadly(it)) crashDelay else null }
        run(second)
    }

    /** Guards against one task that crashes upstream after upstream without end. */
    @ParameterizedTest
    @CsvSource(
        "0, 2000, false",
        "0, 500, false",
        "300, 2000, false",
        "300, 500, true",
        "300, 4000, true",
        "0, 9000, false",
        "1500, 9000, true",
    )
    fun `a task that crashes each upstream that starts it is given up`(
        crashDelayMillis: Long,
        downMillis: Long,
        unlists: Boolean,
    ) {
        val world = world(workers = 6, Duration.ofMillis(crashDelayMillis))
        world.downTime = Duration.ofMillis(downMillis)
        world.unlistsCrashed = unlists
        world.submit(DEADLY, step(1, millis = 2_000))
        world.run(second.multipliedBy(90))
        expectThat(world.violations).isEmpty()
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
        expectThat(world.crashes).isEqualTo(3)
        expectThat(world.store.keys.filter { it.startsWith(ShardKeyPrefixes.CRASHES) }).isEmpty()
    }

    /** Guards against a wide step that takes down one upstream for each of its tasks in each attempt. */
    @ParameterizedTest
    @CsvSource("false, 5", "true, 9")
    fun `a wide step of crashing tasks takes down few upstreams after its first wave`(
        gang: Boolean,
        maxCrashes: Int,
    ) {
        val world = world(workers = 12, Duration.ofMillis(200))
        world.submit(DEADLY, step(8, cpuMillicores = 20_000, millis = 2_000, gang = gang))
        world.run(second.multipliedBy(40))
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
        expectThat(world.crashes).isLessThanOrEqualTo(maxCrashes)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against neighbours of a crashing task that are failed, or crash-counted, in its place. */
    @Test
    fun `the neighbours of a crashing task are completed`() {
        val world = world(workers = 6, Duration.ofMillis(300)) { it.step.job.value == DEADLY && it.index == 3 }
        repeat(12) { world.submit("job$it", step(4, cpuMillicores = 6_000, millis = 3_000)) }
        world.submit(DEADLY, step(6, cpuMillicores = 6_000, millis = 3_000))
        world.run(second.multipliedBy(60))
        repeat(12) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
        expectThat(world.crashes).isEqualTo(3)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against tasks that are given up because their upstreams were cut off or left as announced. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `silence and announced departures of upstreams do not count as crashes`(leaves: Boolean) {
        val world = world(workers = 8) { false }
        world.submit("a", step(1, millis = 60_000))
        repeat(4) {
            world.run(second.multipliedBy(2))
            val host = world.workers.values.single { it.running.isNotEmpty() }
            if (leaves) host.leavesIn = Duration.ofMillis(800)
            world.run(second)
            world.unreachable += host.id
            if (leaves) host.listed = false
            world.run(second.multipliedBy(9))
            if (!leaves) world.unreachable -= host.id
        }
        world.run(second.multipliedBy(80))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.store.keys.filter { it.startsWith(ShardKeyPrefixes.CRASHES) }).isEmpty()
        expectThat(world.violations).isEmpty()
    }

    /** Guards against successors that start to count anew, or miss the crash that fell into the takeover. */
    @ParameterizedTest
    @ValueSource(longs = [40, 330, 700, 1_100, 2_300])
    fun `crashes are counted across takeovers`(intervalMillis: Long) {
        val world = world(workers = 8, Duration.ofMillis(300))
        world.submit(DEADLY, step(1, millis = 2_000))
        repeat(40) {
            world.run(Duration.ofMillis(intervalMillis))
            world.takeOver()
        }
        world.run(second.multipliedBy(40))
        expectThat(world.violations).isEmpty()
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
    }

    /** Guards against a count that is lost when an owner that does not know it writes the records of the job. */
    @Test
    fun `the count outlives an owner that does not know it and is deleted after the end of the job`() {
        val world = world(workers = 6, Duration.ofMillis(300))
        world.submit(DEADLY, step(1, millis = 2_000))
        world.run(second.multipliedBy(4))
        val record = world.store.getValue(ShardKeyPrefixes.CRASHES + DEADLY)
        val crashes = RecordCodec.decode(CrashRecord.serializer(), record)
        expectThat(crashes?.tasks?.single()?.task).isEqualTo(TaskRef.parse("$DEADLY.0.0.0"))
        world.store[ShardKeyPrefixes.CRASHES + "ended"] = record
        world.takeOver()
        world.run(second.multipliedBy(40))
        expectThat(world.crashes).isEqualTo(3)
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
        expectThat(world.store.keys.filter { it.startsWith(ShardKeyPrefixes.CRASHES) }).isEmpty()
    }

    /** Guards against an order that is sent again to a restarted upstream, which it crashes a second time. */
    @Test
    fun `an order without an answer is not repeated after a restart`() {
        val world = world(workers = 1)
        world.downTime = Duration.ofMillis(600)
        world.submit(DEADLY, step(1, millis = 2_000))
        world.run(second.multipliedBy(30))
        val startsByRun =
            world.calls
                .map { it.order }
                .filterIsInstance<UpstreamOrder.Start>()
                .groupingBy { it.run }
                .eachCount()
        expectThat(world.crashes).isEqualTo(3)
        expectThat(startsByRun.size).isEqualTo(3)
        expectThat(world.phase(DEADLY)).isEqualTo(JobPhase.FAILED)
    }

    /** Guards against long-running tasks that are given up for crashes that lie far apart. */
    @Test
    fun `a long-running task is forgiven crashes once it goes on running`() {
        val world = world(workers = 4) { false }
        world.submit("a", step(1, millis = 1_000_000).copy(longRunning = true))
        repeat(5) {
            world.run(second.multipliedBy(40))
            world.workers.values
                .single { it.running.isNotEmpty() }
                .crash(second)
        }
        world.run(second.multipliedBy(10))
        expectThat(world.phase("a")).isEqualTo(JobPhase.RUNNING)
        world.ask(JobRequest.Cancel(JobId("a"), "q"))
        world.run(second)
        expectThat(world.store.keys.filter { it.startsWith(ShardKeyPrefixes.CRASHES) }).isEmpty()
    }

    /** Random days: crashing tasks and gangs among others, takeovers, late orders, silent and crashing upstreams. */
    @ParameterizedTest
    @ValueSource(ints = [118, 169, 16, 17, 19, 37, 58, 60, 62, 91, 104, 107, 112, 121, 157, 215])
    fun `crashing tasks are given up and all others end on random days`(seed: Int): Unit = RandomCrashDay(seed).play()

    private companion object {
        const val DEADLY = "deadly"
    }
}
