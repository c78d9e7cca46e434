package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Answers that belong to another call, step or incarnation than the one that they reach. */
class MisdirectedAnswerTest {
    private val second = Duration.ofSeconds(1)
    private val terms = AdviceTerms(Duration.ofMillis(60), Duration.ofMillis(1), Duration.ofMillis(1_500))

    /** Guards against steps that ask for tickets on the wrong upstreams for ever after one wrong answer. */
    @ParameterizedTest
    @CsvSource("8, 1", "8, 6", "8, 12", "24, 12")
    fun `a step that got the advice for another one is started where the service allows it`(
        workers: Int,
        misdirected: Int,
    ) {
        val world = JobWorld(workers, advice = terms, allowedShare = 0.4)
        world.workers.values.forEach { it.checksTickets = true }
        world.run(second)
        world.misdirectedAdvice = misdirected
        val jobs = (0 until 12).map { "job$it" }
        jobs.forEach { world.submit(it, step(1, millis = 300)) }
        world.run(second.multipliedBy(20))
        jobs.filter { world.isAllowedSomewhere(it) }.forEach {
            expectThat(world.phase(it)).isEqualTo(JobPhase.COMPLETED)
        }
        expectThat(world.violations).isEmpty()
    }

    private fun JobWorld.isAllowedSomewhere(job: String): Boolean =
        workers.keys.any { isAllowed(StepRef(JobId(job), 0, 0), it) }

    /** Guards against upstreams that the step never asked about, and that it then keeps asking about. */
    @Test
    fun `tickets for upstreams that a call has not named are not used`() {
        val world = JobWorld(workers = 4, advice = terms)
        world.run(second)
        world.submit("a", step(1, millis = 300))
        world.deliver(CellEvent.Advised(1, listOf(Ticket(UpstreamId("elsewhere"), "t"))))
        world.run(second.multipliedBy(5))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against runs that are started elsewhere after a late answer from an earlier address. */
    @Test
    fun `an answer from an earlier address does not end the runs on an upstream`() {
        val world = JobWorld(workers = 4)
        world.run(second)
        world.submit("a", step(1, millis = 5_000))
        world.run(second)
        val host = world.workers.values.single { it.running.isNotEmpty() }
        val order = UpstreamOrder.Observe(host.id, "earlier:1", world.lastTokenFor(host), 0, null, 0)
        val sentAt = world.now.minus(second)
        world.deliver(CellEvent.Reported(order, sentAt, UpstreamReport.Observed(Observation.OtherUpstream)))
        world.run(second.multipliedBy(10))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    private fun JobWorld.lastTokenFor(worker: FakeWorker): Long =
        calls.last { it.order.upstream == worker.id }.order.token
}
