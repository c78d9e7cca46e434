package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.ResourceTotals
import org.anvilbarrow.kernel.workspaces.Workspace
import org.anvilbarrow.kernel.workspaces.WorkspaceDirectory
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration
import kotlin.random.Random

/** Tests limits of workspaces while orders, upstreams and owners fail. Tasks take 4 cores. */
class WorkspaceLimitTest {
    private val second = Duration.ofSeconds(1)

    private fun directory(vararg cores: Pair<String, Long>) =
        WorkspaceDirectory(
            cores.map { (name, limit) -> Workspace(name, limit = ResourceTotals.limit(limit * 1_000, 0, 0)) },
        )

    private fun world(
        workers: Int = 4,
        vararg cores: Pair<String, Long>,
    ) = JobWorld(workers, workspaces = directory(*cores)).also { it.run(second) }

    private fun JobWorld.running(workspace: String): Int =
        workers.values.sumOf { worker ->
            worker.running.keys.count { workspaceOf[it.step.job] == workspace }
        }

    @Test
    fun `a step that is wider than the limit runs in waves`() {
        val world = world(cores = arrayOf("a" to 20L))
        world.submit("1", step(12), workspace = "a")
        world.run(Duration.ofMillis(500))
        expectThat(world.running("a")).isEqualTo(5)
        world.run(second.multipliedBy(6))
        expectThat(world.phase("1")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against a workspace at its limit that keeps upstreams free or the order blocked for itself. */
    @Test
    fun `a workspace at its limit does not hold back another one`() {
        val world = world(cores = arrayOf("a" to 8L, "b" to 400L))
        world.submit("1", step(40, millis = 5_000), workspace = "a")
        world.submit("2", step(2, millis = 5_000, gang = true), workspace = "a")
        world.submit("3", step(60), workspace = "b")
        world.run(Duration.ofMillis(500))
        expectThat(world.running("a")).isEqualTo(2)
        expectThat(world.running("b")).isEqualTo(60)
        expectThat(world.decisions.filter { it.kind == "step-limited" }.map { it.subject })
            .containsExactlyInAnyOrder("1.0.0", "2.0.0")
    }

    /** Guards against a successor that bounds runs which it has not observed by a capacity that has shrunk since. */
    @Test
    fun `runs that started under a larger capacity count after a takeover`() {
        val world = world(2, "a" to 60L)
        world.submit("1", step(1, cpuMillicores = 60_000, millis = 9_000), workspace = "a")
        world.run(second)
        val host = world.workers.values.single { it.running.isNotEmpty() }
        host.resize(Resources(8_000, 262_144))
        world.unreachable += host.id
        world.takeOver()
        world.submit("2", step(2, cpuMillicores = 20_000, millis = 3_000), workspace = "a")
        world.run(second)
        world.unreachable.clear()
        world.run(second.multipliedBy(30))
        expectThat(world.phase("2")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `runs on a silent upstream count until their leases have expired`() {
        val world = world(2, "a" to 8L)
        world.submit("1", step(2, millis = 60_000), workspace = "a")
        world.run(second)
        world.unreachable += world.workers.keys
        world.submit("2", step(2), workspace = "a")
        world.run(second.multipliedBy(5))
        world.unreachable.clear()
        world.run(second.multipliedBy(30))
        expectThat(world.violations).isEmpty()
    }

    /** Guards against a new owner that starts tasks beside runs which it has not seen yet. */
    @Test
    fun `runs that a new owner has not observed count against the limit`() {
        val world = world(2, "a" to 120L, "b" to 120L)
        world.submit("1", step(15, millis = 20_000), workspace = "a")
        world.run(second)
        expectThat(world.running("a")).isEqualTo(15)
        world.unreachable += world.workers.keys.first()
        world.takeOver()
        world.submit("2", step(30, millis = 500), workspace = "a")
        world.submit("3", step(4, millis = 500), workspace = "b")
        world.run(second)
        expectThat(world.running("b") + world.finished().count { it.job.value == "3" }).isEqualTo(1)
        world.run(second.multipliedBy(30))
        expectThat(world.phase("2")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against runs of ended jobs, whose size a new owner does not know, that count as nothing. */
    @Test
    fun `nothing starts beside runs of a cancelled job that a new owner finds`() {
        val world = world(4, "a" to 40L)
        world.workers.values.forEach { it.stopTime = Duration.ofMillis(900) }
        world.submit("1", step(10, millis = 20_000), workspace = "a")
        world.run(second)
        world.ask(JobRequest.Cancel(JobId("1"), "q", "a"))
        world.run(Duration.ofMillis(30))
        world.takeOver()
        world.submit("2", step(10, millis = 500), workspace = "a")
        world.run(second.multipliedBy(8))
        expectThat(world.phase("2")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a raised limit is used at once and a lowered one stops nothing`() {
        val world = world(cores = arrayOf("a" to 20L))
        world.submit("1", step(12, millis = 3_000), workspace = "a")
        world.run(Duration.ofMillis(500))
        world.configure(directory("a" to 40L))
        world.run(Duration.ofMillis(200))
        expectThat(world.running("a")).isEqualTo(10)
        world.configure(directory("a" to 8L))
        world.run(Duration.ofMillis(200))
        expectThat(world.running("a")).isEqualTo(10)
        world.run(second.multipliedBy(10))
        expectThat(world.phase("1")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a task or a gang above the limit is refused at once`() {
        val world = world(cores = arrayOf("a" to 20L))
        val calls =
            listOf(step(1, cpuMillicores = 21_000), step(6, gang = true)).mapIndexed { index, step ->
                world.submit("$index", step, workspace = "a")
            }
        val fitting = world.submit("5", step(5, gang = true), workspace = "a")
        world.run(second)
        calls.forEach { expectThat(world.answers[it]).isA<JobAnswer.Invalid>() }
        expectThat(world.answers[fitting]).isEqualTo(JobAnswer.Accepted)
        expectThat(world.startTimes).hasSize(5)
    }

    /** Guards against callers that see, cancel or replace a job of another workspace. */
    @Test
    fun `a job exists for its own workspace only`() {
        val world = world(cores = arrayOf("a" to 20L, "b" to 20L))
        world.submit("1", step(1, millis = 3_000), workspace = "a")
        world.run(Duration.ofMillis(500))
        val id = JobId("1")
        val status = world.ask(JobRequest.Status(id, "q", "b"))
        val cancel = world.ask(JobRequest.Cancel(id, "q", "b"))
        val copy = world.submit("1", step(1), workspace = "b")
        val own = world.ask(JobRequest.Status(id, "q", "a"))
        world.run(second)
        expectThat(world.answers[status]).isEqualTo(JobAnswer.NotFound)
        expectThat(world.answers[cancel]).isEqualTo(JobAnswer.NotFound)
        expectThat(world.answers[copy]).isA<JobAnswer.Invalid>()
        expectThat(world.answers[own]).isEqualTo(JobAnswer.State(JobPhase.RUNNING))
        world.run(second.multipliedBy(4))
        val ended = listOf("a", "b").map { world.ask(JobRequest.Status(id, "q", it)) }
        expectThat(ended.map { world.answers[it] })
            .isEqualTo(listOf(JobAnswer.State(JobPhase.COMPLETED), JobAnswer.NotFound))
    }

    /** Guards against losses, late starts, takeovers and versions that together take a workspace over its limit. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `limits hold on random days and every job ends`(seed: Int) {
        val random = Random(seed)
        val world = JobWorld(4, seed, workspaces = directory("a" to 40L, "b" to 90L))
        world.run(second)
        world.lateShare = 0.05
        world.workers.values.forEach { it.stopTime = Duration.ofMillis(random.nextLong(900)) }
        repeat(DAY_STEPS) { count ->
            val workspace = listOf("a", "b").random(random)
            val millis = random.nextLong(100, 4_000)
            world.submit("$count", step(random.nextInt(1, 9), millis = millis), workspace = workspace)
            when (random.nextInt(12)) {
                0 -> world.takeOver()
                1 -> world.unreachable += world.workers.keys.random(random)
                2 -> world.unreachable.clear()
                3 -> world.configure(directory("a" to random.nextLong(20, 80), "b" to random.nextLong(20, 120)))
                4 -> {
                    val job = JobId("${random.nextInt(count + 1)}")
                    world.ask(JobRequest.Cancel(job, "q", world.workspaceOf[job]))
                }
                5 ->
                    world.workers.values
                        .random(random)
                        .restart()
            }
            world.run(Duration.ofMillis(random.nextLong(300)))
        }
        world.unreachable.clear()
        world.lateShare = 0.0
        world.run(second.multipliedBy(120))
        expectThat(world.violations).isEmpty()
        expectThat(world.stored().jobs).isEmpty()
    }

    private companion object {
        const val DAY_STEPS = 60
    }
}
