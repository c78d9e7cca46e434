package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobRequest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Duration

/** Guards against a count of pending jobs that no line or gauge explains. */
internal class PendingDecisionTest {
    /** What happens before the count to three jobs and one upstream, which has room for both steps of the first job. */
    internal enum class Case(
        val pending: Int,
        val unconfirmed: Int,
        val orderAge: LongRange?,
        val token: Int,
        val prepare: JobWorld.() -> Unit,
    ) {
        /** Counted as unconfirmed, a job that runs would hide those whose orders are lost. */
        CONFIRMED_BY_ANSWER(2, 0, null, 10, { submitThree() }),

        /** Hypothesis 1 of docs/incidents/pending-too-low.md. */
        ORDER_UNDER_WAY(3, 1, 500L..600L, 10, {
            cutAll()
            submitThree()
        }),
        ORDER_REPEATED(3, 1, 2_500L..2_600L, 10, {
            cutAll()
            submitThree()
            run(millis(2_000))
        }),

        /** The job waits for an upstream again. */
        ORDER_GIVEN_UP(3, 1, null, 10, {
            cutAll()
            submitThree()
            run(millis(14_000))
        }),

        /** Hypothesis 4: a start that was confirmed must not look like an order without an answer. */
        CONFIRMED_RUN_LOST(2, 0, null, 10, {
            submitThree()
            losePower(workers.values.single(), millis(20_000))
            run(millis(14_000))
        }),

        ORDER_OF_EARLIER_OWNER(3, 1, null, 20, {
            cutAll()
            submitThree()
            takeOver()
            run(millis(500))
        }),
        CONFIRMED_BY_LISTED_RUN(2, 0, null, 20, {
            submitThree()
            takeOver()
            run(millis(500))
        }),
        CONFIRMED_BY_LISTED_END(2, 0, null, 20, {
            submitThree()
            cutAll()
            run(millis(14_000))
            // Otherwise the successor starts the job again, and the answer confirms that.
            workers.values.single().listed = false
            takeOver()
            unreachable.clear()
            run(millis(500))
        }),
        CONFIRMED_BY_STORED_RESULT(2, 0, null, 20, {
            submitThree()
            run(millis(1_500))
            cutAll()
            takeOver()
            run(millis(500))
        }),
    }

    @ParameterizedTest
    @EnumSource
    fun `the line of a count tells unconfirmed starts from confirmed ones`(case: Case) {
        val world = JobWorld(workers = 1)
        world.run(millis(1_000))
        case.prepare(world)
        val call = world.ask(JobRequest.Pending("q"))
        expectThat(world.answers[call]).isEqualTo(JobAnswer.Count(case.pending))
        val line = world.decisions.single { it.kind == "pending-counted" }
        expectThat(line.subject).isEqualTo("q")
        val parts = expectThat(LINE.matchEntire(line.detail)).isNotNull().subject.groupValues
        expectThat(parts.slice(1..2)).isEqualTo(listOf("${case.pending}", "${case.unconfirmed}"))
        val age = parts[3].toLongOrNull()
        if (case.orderAge == null) expectThat(age).isNull() else expectThat(age).isNotNull().isIn(case.orderAge)
        expectThat(parts.slice(4..5)).isEqualTo(listOf("${case.token}", "test/$call"))
    }

    /** Guards against gauges that differ from what callers are told, and against those that keep an old value. */
    @ParameterizedTest
    @EnumSource
    fun `gauges tell the same as the line`(case: Case) {
        val world = JobWorld(workers = 1)
        world.run(millis(1_000))
        case.prepare(world)
        world.run(millis(1_100))
        val call = world.ask(JobRequest.Pending("q"))
        expectThat(world.answers[call]).isEqualTo(JobAnswer.Count(world.cell.pendingJobs))
        expectThat(world.cell.pendingJobs).isEqualTo(case.pending)
        expectThat(world.cell.unconfirmedJobs).isEqualTo(case.unconfirmed)
        expectThat(world.cell.unconfirmedStarts).isEqualTo(if (case.orderAge == null) 0 else STEPS)
    }

    private companion object {
        val LINE =
            Regex(
                "count (\\d+) of 3 open jobs, (\\d+) of them ordered without a confirmed start, " +
                    "(?:oldest order (\\d+) ms ago|no order under way), token (\\d+), call (\\S+)",
            )

        /** Runs of the first job. */
        const val STEPS = 2

        fun millis(count: Long): Duration = Duration.ofMillis(count)

        fun JobWorld.cutAll() {
            unreachable += workers.keys
        }

        fun JobWorld.submitThree() {
            submit("a", step(1, cpuMillicores = 32_000), step(1, cpuMillicores = 32_000, millis = 60_000))
            run(millis(100))
            submit("b", step(1, cpuMillicores = 64_000))
            submit("c", step(1, cpuMillicores = 64_000))
            run(millis(500))
        }
    }
}
