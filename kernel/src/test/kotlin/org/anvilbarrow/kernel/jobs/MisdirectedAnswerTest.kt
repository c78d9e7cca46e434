package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Answers that belong to another call, step or incarnation than the one that they reach. */
class MisdirectedAnswerTest {
    private val second = Duration.ofSeconds(1)

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
