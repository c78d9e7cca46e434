package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.http.CallerAnswer
import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.http.CallerLimits.Companion.FULL_RETRY_MILLIS
import org.anvilbarrow.adapters.http.RequestBody
import org.anvilbarrow.adapters.http.WorkHandler
import org.anvilbarrow.adapters.telemetry.SchedulerMetrics
import org.anvilbarrow.adapters.telemetry.Tracing
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.UnknownReason
import org.anvilbarrow.protocol.model.WorkRequest
import java.io.IOException
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The open exchanges of this process. */
internal class Exchanges(
    private val clock: InstantSource,
    private val metrics: SchedulerMetrics,
    private val tracing: Tracing,
    private val offer: (Event) -> Boolean,
    private val post: (Event) -> Unit,
) : WorkHandler {
    private val open = ConcurrentHashMap<ExchangeId, Exchange>()
    private val lastId = AtomicLong(firstId(clock.instant()))

    operator fun get(id: ExchangeId): Exchange? = open[id]

    override fun handle(
        request: WorkRequest,
        body: RequestBody,
    ): CallerAnswer {
        val hop = tracing.start("ingress", request.traceparent)
        hop.note("workload", request.workload).note("request", request.id.value)
        val answer = answer(request.copy(traceparent = hop.traceparent), body)
        when (answer) {
            is CallerAnswer.Streamed -> metrics.outcome("answered", "answered")
            is CallerAnswer.Final -> count(answer.outcome)
        }
        hop.end(if (answer is CallerAnswer.Streamed) "answered" else "not_answered")
        return answer
    }

    override fun callerGone(answer: CallerAnswer.Streamed): Unit = post(Event.CallerGone(ExchangeId(answer.exchange)))

    /** Forgets the exchange once its caller has an answer and none of its tasks runs. */
    fun taskEnded(exchange: Exchange) {
        if (exchange.running.isEmpty() && exchange.isAnswered) open.remove(exchange.id)
    }

    private fun answer(
        request: WorkRequest,
        body: RequestBody,
    ): CallerAnswer {
        val kept =
            try {
                if (body.bytes <= CallerLimits.BUFFER_BYTES) body.stream.readNBytes(body.bytes.toInt()) else null
            } catch (_: IOException) {
                return refused(RefusalReason.CANCELLED, "the request body broke off", null)
            }
        if (kept != null && kept.size < body.bytes) {
            return refused(RefusalReason.CANCELLED, "the body has ${kept.size} of ${body.bytes} bytes", null)
        }
        val exchange = Exchange(ExchangeId(lastId.incrementAndGet()), clock.instant(), body, kept)
        open[exchange.id] = exchange
        val offered = offer(Event.RequestArrived(exchange.id, request))
        if (!offered) exchange.answer(refused(RefusalReason.QUEUE_FULL, "the event queue is full", FULL_RETRY_MILLIS))
        return await(exchange, Instant.ofEpochMilli(request.deadlineEpochMillis)).also { taskEnded(exchange) }
    }

    /** The kernel answers at the deadline; the grace only covers a control thread that is late. */
    private fun await(
        exchange: Exchange,
        deadline: Instant,
    ): CallerAnswer {
        val left = Duration.between(clock.instant(), deadline).plus(GRACE)
        exchange.await(maxOf(left, GRACE))?.let { return it }
        val late = CallerAnswer.Final(Outcome.Unknown(UnknownReason.DEADLINE_PASSED, detail = "no decision in time"))
        exchange.answer(late)
        post(Event.CallerGone(exchange.id))
        return checkNotNull(exchange.await(Duration.ZERO)) { "exchange ${exchange.id} has no answer" }
    }

    private fun refused(
        reason: RefusalReason,
        detail: String,
        retryAfterMillis: Long?,
    ) = CallerAnswer.Final(Outcome.Refused(reason, retryAfterMillis, detail))

    private fun count(outcome: Outcome): Unit =
        when (outcome) {
            is Outcome.Refused -> metrics.outcome("refused", outcome.reason.name.lowercase())
            is Outcome.Unknown -> metrics.outcome("unknown", outcome.reason.name.lowercase())
        }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000L
        const val NANOS_PER_MICRO = 1_000

        /** Homes remember exchange ids, so those of an earlier start of this scheduler must not come again. */
        fun firstId(start: Instant): Long = start.epochSecond * MICROS_PER_SECOND + start.nano / NANOS_PER_MICRO

        val GRACE: Duration = Duration.ofSeconds(5)
    }
}
