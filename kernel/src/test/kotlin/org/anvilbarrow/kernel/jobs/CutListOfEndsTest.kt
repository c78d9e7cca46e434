package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against runs that are taken for lost, and run again, because an upstream lists 500 ends at a time. */
class CutListOfEndsTest {
    private val second = Duration.ofSeconds(1)

    @ParameterizedTest
    @CsvSource(
        "499, false",
        "500, false",
        "501, false",
        "660, false",
        "1400, false",
        "500, true",
        "501, true",
        "660, true",
        "1400, true",
    )
    fun `ends beyond those listed are not taken for lost runs`(
        tasks: Int,
        takesOver: Boolean,
    ) {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", StepSpec(tasks, Resources(40, 100), estimatedMillis = 3_000))
        world.run(second.multipliedBy(2))
        world.storeDown = true
        world.run(Duration.ofMillis(4_500))
        world.storeDown = false
        if (takesOver) world.takeOver()
        world.run(second.multipliedBy(20))
        expectThat(world.violations).isEmpty()
        expectThat(world.startTimes.size).isEqualTo(tasks)
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
    }
}
