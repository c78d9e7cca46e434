package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.http.CallerAnswer
import org.anvilbarrow.adapters.http.RequestBody
import org.anvilbarrow.adapters.platform.LeaseCallResult
import org.anvilbarrow.adapters.platform.TaskAnswer
import org.anvilbarrow.adapters.platform.TaskStart
import org.anvilbarrow.adapters.platform.UpstreamClient
import org.anvilbarrow.adapters.settings.SpanChoice
import org.anvilbarrow.adapters.telemetry.SchedulerMetrics
import org.anvilbarrow.adapters.telemetry.Tracing
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class TaskRunnerTest {
    private val clock = InstantSource.fixed(Instant.parse("2026-08-07T10:00:00Z"))
    private val events = LinkedBlockingQueue<Event>()
    private val client = ScriptedClient()
    private val metrics = SchedulerMetrics("lappi-a")
    private val tracing = Tracing(SpanChoice.NONE)
    private val exchanges = Exchanges(clock, metrics, tracing, events::offer, events::put)
    private val runner = TaskRunner(client, clock, exchanges, metrics, tracing, { it.run() }, events::put)

    private data class Case(
        val name: String,
        val bodyBytes: Int = 10,
        val tasks: Int = 1,
        val executions: Int = 1,
        val abandoned: Boolean = false,
        val result: () -> TaskResult = { TaskResult.FAILED },
        val expected: List<TaskResult>,
        val bodies: List<Int>,
    )

    /** Guards against a task that is reported as not run although it may have run, and the reverse (P4, P5). */
    @TestFactory
    fun `a task is reported as not run only if it cannot have run`() =
        listOf(
            Case("result of the upstream", expected = listOf(TaskResult.FAILED), bodies = listOf(10)),
            Case(
                "client fails",
                result = { error("fault of the client") },
                expected = listOf(TaskResult.LOST),
                bodies = listOf(10),
            ),
            Case(
                "abandoned before the start",
                abandoned = true,
                expected = listOf(TaskResult.NOT_RUN),
                bodies = emptyList(),
            ),
            Case(
                "short body for every task of a gang",
                tasks = 2,
                expected = listOf(TaskResult.FAILED, TaskResult.FAILED),
                bodies = listOf(10, 10),
            ),
            Case(
                "long body for a gang",
                bodyBytes = 20_000,
                tasks = 2,
                expected = listOf(TaskResult.NOT_RUN, TaskResult.NOT_RUN),
                bodies = emptyList(),
            ),
            Case(
                "short body is sent again",
                executions = 2,
                expected = listOf(TaskResult.FAILED, TaskResult.FAILED),
                bodies = listOf(10, 10),
            ),
            Case(
                "long body is sent once",
                bodyBytes = 20_000,
                executions = 2,
                expected = listOf(TaskResult.FAILED, TaskResult.LOST),
                bodies = listOf(20_000),
            ),
        ).map { case -> DynamicTest.dynamicTest(case.name) { run(case) } }

    /** Guards against an answer for a caller that is no longer known, and against a leak of its entry. */
    @Test
    fun `an exchange that is over is not run and not kept`() {
        val (id, answer) = arrive(10)
        exchanges[id]?.answer(CallerAnswer.Final(Outcome.Refused(RefusalReason.STOPPING)))
        expectThat(answer.get(WAIT_SECONDS, TimeUnit.SECONDS)).isA<CallerAnswer.Final>()
        expectThat(exchanges[id]).isNull()
        runner.execute(effect(id, 1))
        expectThat(finished().result).isEqualTo(TaskResult.NOT_RUN)
    }

    /** Guards against a request that waits although the kernel never heard of it. */
    @Test
    fun `a request that does not fit in the event queue is refused`() {
        val full = Exchanges(clock, metrics, tracing, { false }, events::put)
        expectThat(full.handle(request(), RequestBody("x".byteInputStream(), 1)))
            .isA<CallerAnswer.Final>()
            .get { outcome }
            .isA<Outcome.Refused>()
            .get { reason }
            .isEqualTo(RefusalReason.QUEUE_FULL)
    }

    /** Guards against a body that is passed on shorter than its caller sent it. */
    @Test
    fun `a body that breaks off is refused`() {
        expectThat(exchanges.handle(request(), RequestBody("x".byteInputStream(), 2)))
            .isA<CallerAnswer.Final>()
            .get { outcome }
            .isA<Outcome.Refused>()
    }

    private fun run(case: Case) {
        events.clear()
        client.bodies.clear()
        client.result = case.result
        val (id, answer) = arrive(case.bodyBytes)
        if (case.abandoned) runner.abandon(Effect.Abandon(id))
        val results =
            (1..case.executions).flatMap {
                runner.execute(effect(id, case.tasks))
                List(case.tasks) { finished().result }
            }
        expectThat(results).isEqualTo(case.expected)
        expectThat(client.bodies.toList()).isEqualTo(case.bodies)
        exchanges[id]?.answer(CallerAnswer.Final(Outcome.Refused(RefusalReason.STOPPING)))
        answer.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun arrive(bodyBytes: Int): Pair<ExchangeId, CompletableFuture<CallerAnswer>> {
        val body = RequestBody(ByteArray(bodyBytes).inputStream(), bodyBytes.toLong())
        val answer = CompletableFuture.supplyAsync { exchanges.handle(request(), body) }
        val arrived = events.poll(WAIT_SECONDS, TimeUnit.SECONDS) as Event.RequestArrived
        return arrived.exchange to answer
    }

    private fun finished(): Event.TaskFinished = events.poll(WAIT_SECONDS, TimeUnit.SECONDS) as Event.TaskFinished

    private fun request(): WorkRequest {
        val now = clock.instant().toEpochMilli()
        return WorkRequest(RequestId("a-1"), "map-tiles", now, now + TimeUnit.SECONDS.toMillis(WAIT_SECONDS))
    }

    private fun effect(
        id: ExchangeId,
        tasks: Int,
    ) = Effect.Execute(
        id,
        "map-tiles",
        "a-1",
        List(tasks, ::grant),
        clock.instant().plusSeconds(WAIT_SECONDS),
        false,
        null,
    )

    private fun grant(index: Int) =
        Grant(TaskId("t-$index"), UpstreamId("u"), "127.0.0.1:1", SchedulerId("s"), 1, 1, 1, Resources.NONE)

    private class ScriptedClient : UpstreamClient {
        val bodies = CopyOnWriteArrayList<Int>()
        var result: () -> TaskResult = { TaskResult.FAILED }

        override fun startTask(
            grant: Grant,
            start: TaskStart,
            onAnswer: (TaskAnswer) -> Unit,
        ): TaskResult {
            bodies += start.body.readAllBytes().size
            return result()
        }

        override fun requestLease(
            address: String,
            request: LeaseRequest,
        ): LeaseCallResult = LeaseCallResult.Unanswered("not scripted")

        override fun releaseLease(
            address: String,
            release: LeaseRelease,
        ): Unit = Unit

        override fun stopTask(grant: Grant): Unit = Unit
    }

    private companion object {
        const val WAIT_SECONDS = 5L
    }
}
