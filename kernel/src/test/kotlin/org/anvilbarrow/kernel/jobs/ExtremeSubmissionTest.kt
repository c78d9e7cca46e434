package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSchedule
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.StepSpec
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Submissions with values at and beyond the bounds of their ranges. */
class ExtremeSubmissionTest {
    private val second = Duration.ofSeconds(1)

    /** Guards against an overflow that crashes the owner of the shard, and every successor that loads the job. */
    @Test
    fun `an estimate of any size does not stop the other jobs`() {
        val world = JobWorld()
        world.run(second)
        world.submit("5c0e7a21d94b36f8", step(1, millis = 500), step(1, millis = 500, dependsOn = intArrayOf(0)))
        val huge = listOf(step(1, millis = Long.MAX_VALUE), step(1, millis = Long.MAX_VALUE, dependsOn = intArrayOf(0)))
        val call = world.ask(JobRequest.Submit(JobId("0000000000000001"), "q", JobSpec("huge", huge)))
        world.run(second)
        expectThat(world.answers[call]).isEqualTo(JobAnswer.Accepted)
        world.takeOver()
        world.run(second.multipliedBy(6))
        expectThat(world.phase("5c0e7a21d94b36f8")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against capacity that is reserved for an urgent step which fits on no upstream. */
    @Test
    fun `a step with laxity does not wait for a step that can never run`() {
        val queues =
            listOf(
                queue("urgent", priority = 0, target = Duration.ofHours(1)),
                queue("patient", priority = 2, target = Duration.ofHours(1)),
            )
        val world = JobWorld(queues = queues)
        world.run(second)
        world.submit("0000000000000001", step(1, cpuMillicores = 65_000), queue = "urgent")
        val gang = step(40, cpuMillicores = 60_000, gang = true)
        world.ask(JobRequest.Submit(JobId("0000000000000002"), "urgent", JobSpec("gang", listOf(gang))))
        world.submit("0000000000000003", step(2, cpuMillicores = 60_000, millis = 500), queue = "patient")
        world.submit("0000000000000004", step(2, cpuMillicores = 60_000, millis = 500), queue = "patient")
        world.run(second.multipliedBy(3))
        expectThat(world.phase("0000000000000003")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.phase("0000000000000004")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @ParameterizedTest
    @MethodSource("outOfBounds")
    fun `a submission with values out of bounds is rejected`(spec: JobSpec) {
        val world = JobWorld()
        world.run(second)
        val call = world.ask(JobRequest.Submit(JobId("0000000000000001"), "q", spec))
        world.run(second)
        expectThat(world.answers[call]).isA<JobAnswer.Invalid>()
    }

    companion object {
        private fun spec(
            steps: List<StepSpec> = listOf(step(1)),
            schedule: JobSchedule? = null,
        ) = JobSpec("payload", steps, schedule)

        @JvmStatic
        fun outOfBounds() =
            listOf(
                spec(List(64) { step(10_000) }),
                spec().copy(payload = "\u00e4".repeat(2_001)),
                spec(listOf(step(1).copy(image = "i".repeat(257)))),
                spec(listOf(step(1).copy(dependsOn = List(65) { 0 }))),
                spec(schedule = JobSchedule(2, Long.MAX_VALUE, 1)),
                spec(schedule = JobSchedule(2, -1, 1)),
                spec(schedule = JobSchedule(100_000, 0, Long.MAX_VALUE / 50_000)),
                spec(schedule = JobSchedule(0, 0, 1)),
            )
    }
}
