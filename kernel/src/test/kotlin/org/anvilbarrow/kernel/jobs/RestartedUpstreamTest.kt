package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against ends of a new incarnation that are acknowledged unseen by the count of the one before. */
class RestartedUpstreamTest {
    /** A start order meets an upstream without power, and is repeated to its new incarnation before that is noticed. */
    @ParameterizedTest
    @ValueSource(longs = [300, 600, 900, 1_000, 1_100])
    fun `a task that is done on a new incarnation does not run again`(darkMillis: Long) {
        val world = JobWorld(workers = 1)
        world.run(Duration.ofSeconds(1))
        repeat(6) { world.submit("earlier$it", step(1, millis = 100)) }
        world.run(Duration.ofSeconds(2))
        world.losePower(world.workers.values.single(), Duration.ofMillis(darkMillis))
        world.submit("a", step(1, millis = 200))
        world.run(Duration.ofSeconds(20))
        expectThat(world.violations).isEmpty()
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(7)
    }
}
