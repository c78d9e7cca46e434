package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.kernel.jobs.CellEffect
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture

/** Calls for advice through a peer that fails, is late or answers an earlier incarnation of this process. */
internal class AdviceDispatchTest {
    private var connected = true
    private val sent = ArrayList<CellMessage.Advise>()
    private val delayed = ArrayList<() -> Unit>()
    private val answers = ArrayList<List<Ticket>?>()
    private val random = SplittableRandom(1)
    private val dispatch = incarnation()

    private fun incarnation() =
        AdviceDispatch(
            "self",
            { _, _, _ -> CompletableFuture.completedFuture(TICKETS) },
            CorrelationNumbers(random),
            { _, task -> delayed += task },
        ) { _, call ->
            sent += call
            connected
        }

    /** Makes [count] calls through [helper] and returns the numbers of those that were sent to a peer. */
    private fun advise(
        from: AdviceDispatch,
        count: Int = 1,
        helper: String = "peer",
        done: (List<Ticket>?) -> Unit = { answers += it },
    ): List<Long> {
        sent.clear()
        repeat(count) { step ->
            val call =
                CellEffect.Advise(
                    step.toLong(),
                    helper,
                    StepRef(JobId("5c0e7a21d94b36f8"), 0, step),
                    listOf(UpstreamId("w1")),
                    Duration.ofMillis(900),
                )
            from.advise(0, call, done)
        }
        return sent.map { it.call }
    }

    @Test
    fun `a call is made by the process itself or by a peer and completed once`() {
        expectThat(advise(dispatch, helper = "self")).isEmpty()
        val number = advise(dispatch).single()
        repeat(2) { dispatch.advised("peer", CellMessage.Advised(number, null)) }
        expectThat(answers).containsExactly(TICKETS, null)
    }

    /** Guards against a step that waits for the timeout of a call that was never made. */
    @Test
    fun `a call through a peer that is not connected fails at once`() {
        connected = false
        advise(dispatch)
        expectThat(answers).containsExactly(null)
    }

    /** Guards against calls that are kept forever because their peer has left. */
    @Test
    fun `an answer after the timeout of its call is dropped`() {
        val number = advise(dispatch).single()
        delayed.forEach { it() }
        dispatch.advised("peer", CellMessage.Advised(number, TICKETS))
        expectThat(answers).isEmpty()
    }

    /** Guards against tickets that another process than the one that was asked has answered with. */
    @Test
    fun `an answer counts only from the peer that made the call`() {
        val number = advise(dispatch).single()
        dispatch.advised("other", CellMessage.Advised(number, LATE_TICKETS))
        expectThat(answers).isEmpty()
        dispatch.advised("peer", CellMessage.Advised(number, TICKETS))
        expectThat(answers.single()).isEqualTo(TICKETS)
    }

    /** Guards against tickets for one step that are recorded for another, which then asks for the wrong upstreams. */
    @ParameterizedTest
    @CsvSource("1, 1", "1, 40", "40, 1", "40, 40")
    fun `tickets for the calls of an earlier incarnation are not taken for those of the present one`(
        earlierCalls: Int,
        presentCalls: Int,
    ) {
        val earlier = advise(dispatch, earlierCalls) { }
        val restarted = incarnation()
        val present = advise(restarted, presentCalls)
        earlier.forEach { restarted.advised("peer", CellMessage.Advised(it, LATE_TICKETS)) }
        expectThat(answers).isEmpty()
        present.forEach { restarted.advised("peer", CellMessage.Advised(it, TICKETS)) }
        expectThat(answers).hasSize(presentCalls).all { isEqualTo(TICKETS) }
    }

    private companion object {
        val TICKETS = listOf(Ticket(UpstreamId("w1"), "ticket"))
        val LATE_TICKETS = listOf(Ticket(UpstreamId("w2"), "late"))
    }
}
