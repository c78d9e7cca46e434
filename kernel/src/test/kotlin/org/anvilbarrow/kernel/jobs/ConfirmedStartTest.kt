package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSchedule
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.NotStartedReason
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.StartResult
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against sources of a start that are missing, and against an answer that is taken for one wrongly. */
class ConfirmedStartTest {
    private val second = Duration.ofSeconds(1)

    /** A run that ends before the next observation is only ever listed as ended. */
    @Test
    fun `a listed end confirms a start whose answer was lost`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.losesAnswersToStarts = true
        world.submit("a", step(1, millis = 1), withoutRoom(0))
        world.run(second.multipliedBy(3))
        expectThat(world.startedJobs.toSet()).isEqualTo(setOf(JobId("a")))
        expectThat(world.pending()).isEqualTo(0)
        expectThat(world.phase("a")).isEqualTo(JobPhase.RUNNING)
    }

    /** A stop order may overtake the start order, which is then rejected as old without having started anything. */
    @Test
    fun `a rejection as old confirms no start`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.unreachable += world.workers.keys
        world.submit("a", step(1))
        world.run(Duration.ofMillis(100))
        val order =
            world.calls
                .map { it.order }
                .filterIsInstance<UpstreamOrder.Start>()
                .single()
        val rejection = UpstreamReport.Started(StartResult.NotStarted(NotStartedReason.OLD))
        world.deliver(CellEvent.Reported(order, world.now, rejection))
        expectThat(world.pending()).isEqualTo(1)
        expectThat(world.phase("a")).isEqualTo(JobPhase.QUEUED)
    }

    /** Records of earlier builds have no start; a stored failure shows it, also while the upstream is cut off. */
    @Test
    fun `a failure that an earlier build stored shows a start`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", step(1, millis = 60_000))
        world.run(second)
        world.workers.values
            .single()
            .run { fail(running.keys.single()) }
        world.run(second)
        world.unreachable += world.workers.keys
        world.forgetStarts()
        world.takeOver()
        world.run(second)
        expectThat(world.pending()).isEqualTo(0)
    }

    @Test
    fun `a done task that an earlier build stored shows a start`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", step(1, millis = 100), withoutRoom(0))
        world.run(second.multipliedBy(2))
        world.unreachable += world.workers.keys
        world.forgetStarts()
        world.takeOver()
        world.run(second)
        expectThat(world.pending()).isEqualTo(0)
    }

    /** Steps of an occurrence that is done are dropped, so they no longer show that the job has started. */
    @Test
    fun `a job with a done occurrence has started`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        val id = JobId("a")
        val schedule = JobSchedule(3, world.now.toEpochMilli(), 2_000)
        world.ask(JobRequest.Submit(id, "q", JobSpec("payload", listOf(step(1, millis = 100)), schedule)))
        world.run(Duration.ofMillis(1_500))
        world.unreachable += world.workers.keys
        world.run(second.multipliedBy(5))
        expectThat(world.pending()).isEqualTo(0)
        expectThat(world.phase("a")).isEqualTo(JobPhase.RUNNING)
        world.forgetStarts()
        world.takeOver()
        world.run(second)
        expectThat(world.pending()).isEqualTo(0)
        expectThat(world.violations).isEmpty()
    }

    /** A successor that takes the task for never ordered would not record the next start of a crashing task. */
    @Test
    fun `a listed run is stored as ordered`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", step(1, millis = 60_000))
        world.run(second)
        // The owner was lost before it stored that it gave the order.
        world.store.keys.removeIf { it.startsWith("p/") }
        world.takeOver()
        world.run(second)
        expectThat(world.progress().flatMap { it.steps }.map { it.isOrdered }).isEqualTo(listOf(true))
    }

    private fun withoutRoom(vararg dependsOn: Int) = step(1, 128_000, 1_000, *dependsOn)

    private fun JobWorld.progress(): List<ProgressRecord> =
        store.filterKeys { it.startsWith(ShardKeyPrefixes.PROGRESS) }.values.map {
            checkNotNull(RecordCodec.decode(ProgressRecord.serializer(), it))
        }

    /** Rewrites the stored progress as an earlier build would have stored it. */
    private fun JobWorld.forgetStarts() {
        store.filterKeys { it.startsWith(ShardKeyPrefixes.PROGRESS) }.forEach { (key, bytes) ->
            val record = checkNotNull(RecordCodec.decode(ProgressRecord.serializer(), bytes))
            val earlier = record.copy(steps = record.steps.map { it.copy(isStarted = false) })
            store[key] = RecordCodec.encode(ProgressRecord.serializer(), earlier)
        }
    }
}
