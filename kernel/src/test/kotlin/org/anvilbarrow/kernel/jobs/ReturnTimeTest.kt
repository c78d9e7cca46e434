package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobPhase
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Duration

/** When callers come back that are refused during an outage of the store. */
class ReturnTimeTest {
    private val second = Duration.ofSeconds(1)

    @ParameterizedTest
    @CsvSource("700,20000,1000", "2500,20000,2500", "9000,20000,4000", "5000,1000,1000", "5000,-3000,1000")
    fun `a caller comes back after about the time that the outage has lasted, if its job can bear it`(
        stalledMillis: Long,
        slackMillis: Long,
        expectedMillis: Long,
    ) {
        val time = ReturnTime.after(Duration.ofMillis(stalledMillis), Duration.ofMillis(slackMillis))
        expectThat(time).isEqualTo(Duration.ofMillis(expectedMillis))
    }

    /** Guards against callers of patient jobs that use up their tries before the store is back. */
    @Test
    fun `four tries of a patient job reach past an outage of eight seconds and the job meets its objective`() {
        val patient = queue("patient", stretch = 4.0, target = Duration.ofSeconds(3))
        val world = JobWorld(queues = listOf(patient))
        world.run(second)
        world.storeDown = true
        // Makes the owner notice the outage.
        world.submit("0000000000000001", step(1, millis = 100), queue = "patient")
        world.run(second)
        val start = world.now
        world.after(second.multipliedBy(7)) { world.storeDown = false }
        tryAgain(world, "0000000000000002", tries = 5)
        world.run(second.multipliedBy(20))
        val end = world.finished().single { it.job.value == "0000000000000002" }
        expectThat(end.phase).isEqualTo(JobPhase.COMPLETED)
        val due = start.plus(patient.objectiveOf(Duration.ofMillis(2_700)))
        expectThat(due.toEpochMilli()).isGreaterThan(end.endedAtEpochMillis)
    }

    /** A caller that sends its job at once and then as often as it may, when it is told to. */
    private fun tryAgain(
        world: JobWorld,
        id: String,
        tries: Int,
    ) {
        if (tries == 0) return
        val call = world.submit(id, step(2, millis = 2_700), queue = "patient")
        world.after(Duration.ofMillis(50)) {
            val refused = world.answers[call] as? JobAnswer.Refused ?: return@after
            world.after(Duration.ofMillis(refused.retryAfterMillis)) { tryAgain(world, id, tries - 1) }
        }
    }
}
