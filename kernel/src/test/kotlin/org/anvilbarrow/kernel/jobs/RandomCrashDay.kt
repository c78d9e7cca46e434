package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.StepSpec
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration
import kotlin.random.Random

/** A random day with jobs that crash upstreams, takeovers, late orders, and upstreams that fall silent or crash. */
internal class RandomCrashDay(
    private val seed: Int,
) {
    private val random = Random(seed)
    private val second = Duration.ofSeconds(1)

    /** Fails if an invariant is violated, a crashing job is not given up, or another one does not end. */
    fun play() {
        val world = JobWorld(workers = 12, seed = seed, limits = CellLimits(retention = Duration.ofMinutes(10)))
        val delays = listOf(0L, 150L, 900L)
        world.crashDelay = { task ->
            delays[(task.step.job.value.length + seed) % delays.size]
                .takeIf {
                    task.step.job.value
                        .startsWith(CRASHING)
                }?.let(Duration::ofMillis)
        }
        world.downTime = Duration.ofMillis(random.nextLong(400, 9_000))
        world.unlistsCrashed = random.nextBoolean()
        world.lateShare = random.nextDouble(0.08)
        world.run(second)
        repeat(40) { index ->
            val isDeadly = index % 10 == 3
            world.submit((if (isDeadly) CRASHING else "job") + index, randomStep())
            world.run(Duration.ofMillis(random.nextLong(50, 900)))
            when (random.nextInt(8)) {
                0 -> world.takeOver()
                1 ->
                    world.workers.values
                        .random(random)
                        .let { if (!it.isDown) it.crash(second) }
                2 ->
                    world.workers.keys.random(random).let { id ->
                        world.unreachable += id
                        world.after(Duration.ofMillis(random.nextLong(300, 8_000))) { world.unreachable -= id }
                    }
            }
        }
        world.run(second.multipliedBy(180))
        expectThat(world.violations).isEmpty()
        repeat(40) { index ->
            val isDeadly = index % 10 == 3
            val phase = world.phase((if (isDeadly) CRASHING else "job") + index)
            // The platform allows to give up a task under which two upstreams crashed, whatever the reason.
            if (!isDeadly && world.maxCrashesUnder("job$index") >= 2) return@repeat
            expectThat(phase).isEqualTo(if (isDeadly) JobPhase.FAILED else JobPhase.COMPLETED)
        }
    }

    private fun randomStep(): StepSpec =
        step(
            random.nextInt(1, 7),
            cpuMillicores = random.nextInt(1_000, 12_000),
            millis = random.nextLong(1_000, 4_000),
            gang = random.nextInt(4) == 0,
        )

    private companion object {
        const val CRASHING = "deadly"
    }
}
