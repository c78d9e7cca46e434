package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSchedule
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.time.Duration

/** Guards against records and calls that the store refuses for their size, which stop all jobs of the shard. */
class RecordSizeTest {
    private val second = Duration.ofSeconds(1)

    /** Submits a job of three small steps that recurs once a second and whose [occurrences] are all due. */
    private fun JobWorld.submitOverdue(
        id: String,
        occurrences: Int,
        steps: Int = 3,
        longRunning: Boolean = false,
    ): Long {
        val step = StepSpec(1, Resources(100, 100), estimatedMillis = 100, longRunning = longRunning)
        val chain = (0 until steps).map { step.copy(dependsOn = if (it == 0) emptyList() else listOf(it - 1)) }
        val startsAt = now.toEpochMilli() - occurrences * 1_000L
        val spec = JobSpec("payload of $id", chain, JobSchedule(occurrences, startsAt, 1_000))
        return ask(JobRequest.Submit(JobId(id), "q", spec))
    }

    @ParameterizedTest
    @CsvSource("60, false", "3600, false", "1200, true")
    fun `a long recurring job that is overdue holds up no other job`(
        occurrences: Int,
        takesOver: Boolean,
    ) {
        val world = JobWorld(workers = 4, limits = CellLimits(retention = Duration.ofMinutes(30)))
        world.run(second)
        world.submitOverdue("recurring", occurrences)
        world.submit("other", step(1, millis = 600_000))
        repeat(8) {
            world.run(second)
            if (takesOver) world.takeOver()
        }
        val cancel = world.ask(JobRequest.Cancel(JobId("other"), "q"))
        world.run(second)
        expectThat(world.answers[cancel]).isEqualTo(JobAnswer.Cancelled)
        world.run(Duration.ofMillis(occurrences * 20L))
        expectThat(world.violations).isEmpty()
        expectThat(world.phase("recurring")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(occurrences * 3 + 1)
    }

    /** Guards against a process that runs out of memory because all due occurrences are opened at once. */
    @Test
    fun `a job with very many due occurrences is opened piece by piece`() {
        val world = JobWorld(workers = 4)
        world.run(second)
        val call = world.submitOverdue("recurring", 100_000)
        world.run(second.multipliedBy(3))
        expectThat(world.answers[call]).isEqualTo(JobAnswer.Accepted)
        expectThat(world.violations).isEmpty()
        expectThat(world.largestRecordBytes).isLessThan(64 * 1_024)
    }

    /** Progress takes room for what is open, not for all occurrences that ever were. */
    @Test
    fun `the record of a recurring job does not grow with its age`() {
        val world = JobWorld(workers = 4, limits = CellLimits(retention = Duration.ofMinutes(30)))
        world.run(second)
        world.submitOverdue("a", 2_000, steps = 1)
        world.run(second.multipliedBy(60))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.largestRecordBytes).isLessThan(64 * 1_024)
    }

    /** All occurrences of long-running steps are open at once. */
    @ParameterizedTest
    @CsvSource("1000, 1, true", "1001, 1, false", "100, 10, true", "101, 10, false")
    fun `a recurring job with long-running steps is refused if it can never be open as a whole`(
        occurrences: Int,
        steps: Int,
        accepted: Boolean,
    ) {
        val world = JobWorld(workers = 1)
        world.run(second)
        val call = world.submitOverdue("a", occurrences, steps, longRunning = true)
        world.run(second)
        expectThat(world.answers[call] is JobAnswer.Accepted).isEqualTo(accepted)
        expectThat(world.answers[call] is JobAnswer.Invalid).isEqualTo(!accepted)
    }

    @Test
    fun `many submissions that wait for the store are stored in several calls`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.storeDown = true
        val payload = "x".repeat(4_000)
        val spec = JobSpec(payload, listOf(StepSpec(1, Resources(1, 1), estimatedMillis = 10)))
        val calls = (0 until 1_500).map { world.ask(JobRequest.Submit(JobId("job$it"), "q", spec)) }
        world.run(Duration.ofMillis(300))
        world.storeDown = false
        world.run(second)
        expectThat(world.violations).isEmpty()
        expectThat(calls.count { world.answers[it] == JobAnswer.Accepted }).isEqualTo(calls.size)
    }

    /** Every task fails twice, so that the record holds the numbers of the failed runs. */
    @Test
    fun `the failures of a wide step are stored`() {
        val world = JobWorld(workers = 4, limits = CellLimits(retention = Duration.ofMinutes(30)))
        world.run(second)
        world.workers.values.forEach { it.failsEverything = true }
        world.submit("wide", StepSpec(10_000, Resources(10, 10), estimatedMillis = 1_000))
        world.run(Duration.ofMillis(2_500))
        expectThat(world.violations).isEmpty()
        world.takeOver()
        world.run(second)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against one record that is refused for good and holds up all other jobs. */
    @ParameterizedTest
    @CsvSource("j/", "p/", "c/")
    fun `a job whose record is refused ends and holds up no other job`(prefix: String) {
        val world = JobWorld(workers = 4)
        world.crashDelay = { if (it.step.job.value == "large") Duration.ofMillis(300) else null }
        world.refusesRecord = { it.startsWith("${prefix}large") }
        world.run(second)
        val call = world.submit("large", step(1), step(1, 1_000, 500, 0))
        world.submit("other", step(2))
        world.run(second.multipliedBy(30))
        val isStored = prefix != "j/"
        expectThat(world.answers[call] is JobAnswer.Accepted).isEqualTo(isStored)
        expectThat(world.phase("large")).isEqualTo(if (isStored) JobPhase.FAILED else null)
        expectThat(world.phase("other")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }
}
