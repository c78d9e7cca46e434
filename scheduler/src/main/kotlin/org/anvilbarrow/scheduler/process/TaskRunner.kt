package org.anvilbarrow.scheduler.process

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.http.CallerAnswer
import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.platform.TaskAnswer
import org.anvilbarrow.adapters.platform.TaskStart
import org.anvilbarrow.adapters.platform.UpstreamClient
import org.anvilbarrow.adapters.telemetry.SchedulerMetrics
import org.anvilbarrow.adapters.telemetry.Tracing
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import java.io.InputStream
import java.io.OutputStream
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.Executor

private val log = KotlinLogging.logger("anvilbarrow.traffic")

/** Starts granted tasks, relays the answer of the first one to the caller and reports how each ended. */
internal class TaskRunner(
    private val client: UpstreamClient,
    private val clock: InstantSource,
    private val exchanges: Exchanges,
    private val metrics: SchedulerMetrics,
    private val tracing: Tracing,
    private val threads: Executor,
    private val post: (Event) -> Unit,
) {
    /** Starts every grant of [effect] on a traffic thread of its own. */
    fun execute(effect: Effect.Execute) {
        val exchange = exchanges[effect.exchange]
        effect.grants.forEach { grant -> exchange?.running?.put(grant.task, grant) }
        effect.grants.forEachIndexed { index, grant ->
            threads.execute { run(Run(effect, grant, exchange, primary = index == 0)) }
        }
    }

    /** Stops the running tasks of [effect]'s exchange without waiting. */
    fun abandon(effect: Effect.Abandon) {
        val exchange = exchanges[effect.exchange] ?: return
        exchange.abandoned = true
        exchange.running.values.forEach { grant -> threads.execute { client.stopTask(grant) } }
    }

    private class Run(
        val effect: Effect.Execute,
        val grant: Grant,
        val exchange: Exchange?,
        val primary: Boolean,
    ) {
        var answerStarted = false
    }

    private fun run(run: Run) {
        val result = if (run.exchange == null) TaskResult.NOT_RUN else startGuarded(run, run.exchange)
        metrics.taskEnded(result.name.lowercase())
        post(Event.TaskFinished(run.effect.exchange, run.grant.task, result, run.answerStarted))
        run.exchange?.let {
            it.running.remove(run.grant.task)
            exchanges.taskEnded(it)
        }
    }

    /** A client that fails in an unforeseen way may have started the task. */
    @Suppress("TooGenericExceptionCaught")
    private fun startGuarded(
        run: Run,
        exchange: Exchange,
    ): TaskResult =
        try {
            start(run, exchange)
        } catch (e: Exception) {
            log.error(e) { "Task ${run.grant.task} on ${run.grant.upstream} failed in this process." }
            TaskResult.LOST
        }

    private fun start(
        run: Run,
        exchange: Exchange,
    ): TaskResult {
        val effect = run.effect
        if (exchange.abandoned) return TaskResult.NOT_RUN
        if (effect.grants.size > 1 && !exchange.canSendBodyAgain) {
            log.error {
                "Gang request ${effect.requestId} has a body of ${exchange.bodyBytes} bytes; " +
                    "the limit for gang jobs is ${CallerLimits.BUFFER_BYTES}."
            }
            return TaskResult.NOT_RUN
        }
        // The body is gone, so an earlier task of this request may have run.
        val body = exchange.takeBody() ?: return TaskResult.LOST
        val now = clock.instant()
        if (run.primary) metrics.started(effect.workload, Duration.between(exchange.arrivedAt, now))
        val hop = tracing.start("task", effect.traceparent).note("upstream", run.grant.upstream.value)
        val start =
            TaskStart(
                effect.workload,
                effect.requestId,
                hop.traceparent,
                timeLeft(now, effect.deadline),
                body,
                exchange.bodyBytes,
            )
        var result = TaskResult.LOST
        try {
            result = client.startTask(run.grant, start) { answer -> relay(run, exchange, answer) }
        } finally {
            hop.end(result.name.lowercase())
        }
        return result
    }

    /** The kernel ends the exchange at the deadline, but an answer that has started may go on after it. */
    private fun timeLeft(
        now: Instant,
        deadline: Instant,
    ): Duration = maxOf(Duration.between(now, deadline), Duration.ZERO).plus(ANSWER_AFTER_DEADLINE)

    private fun relay(
        run: Run,
        exchange: Exchange,
        answer: TaskAnswer,
    ) {
        if (!run.primary) {
            answer.body.discard()
        } else {
            val relay = AnswerRelay(answer.body)
            run.answerStarted =
                exchange.answer(CallerAnswer.Streamed(exchange.id.value, answer.status, answer.contentType, relay))
            if (run.answerStarted) {
                post(Event.AnswerStarted(exchange.id))
                relay.awaitEnd()
            }
        }
    }

    private fun InputStream.discard() {
        transferTo(OutputStream.nullOutputStream())
    }

    private companion object {
        val ANSWER_AFTER_DEADLINE: Duration = Duration.ofMinutes(5)
    }
}
