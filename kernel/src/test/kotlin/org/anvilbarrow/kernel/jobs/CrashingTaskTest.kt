package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Tasks that crash the upstreams that start them. */
class CrashingTaskTest {
    private val second = Duration.ofSeconds(1)

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
        val world = JobWorld(workers = 6)
        world.crashDelay = { if (it.step.job.value == "deadly") Duration.ofMillis(crashDelayMillis) else null }
        world.downTime = Duration.ofMillis(downMillis)
        world.unlistsCrashed = unlists
        world.run(second)
        world.submit("deadly", step(1, millis = 2_000))
        world.run(second.multipliedBy(90))
        expectThat(world.violations).isEmpty()
        expectThat(world.phase("deadly")).isEqualTo(JobPhase.FAILED)
    }
}
