package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against start orders that count as starts before an upstream has confirmed them. */
class UnconfirmedStartTest {
    private val second = Duration.ofSeconds(1)

    private fun JobWorld.pending(): Int = (answers[ask(JobRequest.Pending("q"))] as JobAnswer.Count).pending

    private fun JobWorld.count(kind: String) = decisions.count { it.kind == kind }

    /** Returns a world in which [jobs] jobs wait for answers of upstreams that are all cut off. */
    private fun cutOff(jobs: Int): JobWorld {
        val world = JobWorld()
        world.run(second)
        world.unreachable += world.workers.keys
        repeat(jobs) { world.submit("job$it", step(1)) }
        return world
    }

    @ParameterizedTest
    @ValueSource(longs = [100, 1_000, 5_000])
    fun `jobs whose start orders have no answer are pending`(afterMillis: Long) {
        val world = cutOff(jobs = 8)
        world.run(Duration.ofMillis(afterMillis))
        expectThat(world.startedJobs).isEmpty()
        expectThat(world.pending()).isEqualTo(8)
    }

    @Test
    fun `a job whose start order has no answer is queued`() {
        val world = cutOff(jobs = 1)
        world.run(second)
        expectThat(world.phase("job0")).isEqualTo(JobPhase.QUEUED)
    }

    /** The store keeps the decision of the earlier owner. */
    @Test
    fun `jobs that no upstream has started are pending at a successor`() {
        val world = cutOff(jobs = 8)
        world.run(second)
        world.takeOver()
        world.run(second.multipliedBy(2))
        expectThat(world.startedJobs).isEmpty()
        expectThat(world.pending()).isEqualTo(8)
        expectThat(world.phase("job0")).isEqualTo(JobPhase.QUEUED)
    }

    /** The order reaches the next incarnation of the upstream, or none. */
    @Test
    fun `jobs whose start orders were lost with an incarnation are pending`() {
        val world = JobWorld()
        world.run(second)
        world.workers.values.forEach { world.losePower(it, Duration.ofMillis(600)) }
        repeat(8) { world.submit("job$it", step(1)) }
        world.after(Duration.ofMillis(590)) { world.unreachable += world.workers.keys }
        world.run(second.multipliedBy(6))
        expectThat(world.startedJobs).isEmpty()
        expectThat(world.pending()).isEqualTo(8)
    }

    /** A successor stores the place of a task before it sends the order, so a stalled store delays the order. */
    @ParameterizedTest
    @ValueSource(longs = [3_400, 3_600, 4_000, 6_000])
    fun `the time until a start order is sent does not count as time without progress`(stallMillis: Long) {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", step(2, cpuMillicores = 64_000, millis = 3_000))
        world.run(Duration.ofMillis(500))
        world.takeOver()
        world.run(Duration.ofMillis(2_300))
        world.storeDown = true
        world.run(Duration.ofMillis(stallMillis))
        world.storeDown = false
        world.run(second.multipliedBy(30))
        expectThat(world.violations).isEmpty()
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.count("run-stuck")).isEqualTo(0)
    }

    /** The order to stop a gang that does not assemble overtakes the start order, which is rejected as old. */
    @Test
    fun `a rejected start order of a run that was stopped does not count as a start`() {
        val world = JobWorld(workers = 2)
        world.run(second)
        val attempts = HashMap<Pair<TaskRef, Long>, Int>()
        world.delayOf = { order ->
            (order as? UpstreamOrder.Start)?.let {
                val attempt = attempts.merge(it.task to it.run, 1, Int::plus)
                Duration.ofMillis(if (attempt == 1) 2_000 else 850)
            }
        }
        world.submit("a", step(2, cpuMillicores = 64_000, gang = true))
        world.run(Duration.ofMillis(2_500))
        expectThat(world.startedJobs).isEmpty()
        expectThat(world.decisions.map { it.detail }).any { contains("OLD") }
        expectThat(world.pending()).isEqualTo(1)
    }
}
