package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration
import kotlin.random.Random

/** Upstreams whose capacity shrinks and grows while they run tasks. */
class CapacityChangeTest {
    private val second = Duration.ofSeconds(1)

    /** Guards against starts beyond a reduced capacity, with late orders, takeovers and restarts in between. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `no start exceeds a capacity that changes while tasks run`(seed: Int) {
        val random = Random(seed)
        val world = JobWorld(workers = 6, seed = seed)
        world.lateShare = 0.05
        world.run(second)
        repeat(60) { index ->
            world.submit("job$index", step(random.nextInt(1, 6), random.nextInt(2_000, 15_000), 1_500))
            world.run(Duration.ofMillis(random.nextLong(100, 700)))
            val worker = world.workers.values.random(random)
            when (random.nextInt(16)) {
                0, 1, 2, 3, 4, 5 -> worker.resize(Resources(random.nextInt(16, 65) * 1_000, 262_144))
                6, 7 -> world.takeOver()
                8 -> worker.restart()
            }
        }
        world.run(second.multipliedBy(60))
        repeat(60) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
        expectThat(world.violations).isEmpty()
    }

    /** Guards against an owner that goes on with old capacities while it cannot read the list of upstreams. */
    @Test
    fun `nothing starts on capacities that were read too long ago`() {
        val world = JobWorld(workers = 1)
        val worker = world.workers.values.single()
        world.run(second)
        repeat(40) { world.submit("job$it", step(1, cpuMillicores = 30_000, millis = 1_000)) }
        world.run(second)
        world.listReadable = false
        worker.resize(Resources(40_000, 262_144))
        world.run(second.multipliedBy(15))
        world.listReadable = true
        world.run(second.multipliedBy(60))
        repeat(40) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
        expectThat(world.violations).isEmpty()
    }
}
