package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.peer.TaskResult
import java.time.Duration
import java.time.Instant

/** P3 and P7: every exchange gets one outcome of its own, in time, and a planned stop takes none away. */
internal class OutcomeChecks(
    private val world: World,
    private val report: Report,
) {
    /** Notes what the kernel is told about an exchange. */
    fun told(
        host: SchedulerHost,
        event: Event,
    ) {
        when (event) {
            is Event.CallerGone -> host.exchanges[event.exchange]?.callerGone = true
            is Event.AnswerStarted -> host.exchanges[event.exchange]?.decided = true
            is Event.TaskFinished -> if (event.answerStarted) host.exchanges[event.exchange]?.decided = true
            is Event.StopRequested -> host.stopping = true
            else -> Unit
        }
    }

    fun execute(
        host: SchedulerHost,
        effect: Effect.Execute,
    ) {
        val exchange = host.exchanges[effect.exchange]
        if (exchange == null) {
            report(Point.P3_OUTCOME, "${host.id} executes for unknown exchange ${effect.exchange}")
            return
        }
        val request = exchange.request
        if (request.id.value != effect.requestId || request.workload != effect.workload) {
            report(Point.P3_OUTCOME, "$exchange executes ${effect.requestId} of ${effect.workload}")
        }
        if (exchange.decided) report(Point.P3_OUTCOME, "$exchange executes after its outcome")
        if (exchange.results.values.any { it == null }) report(Point.P3_OUTCOME, "$exchange executes twice at once")
        val spec = world.declared.workloads.getValue(request.workload)
        if (!spec.idempotent && exchange.results.values.any { it != TaskResult.NOT_RUN }) {
            report(Point.P5_RAN_TWICE, "$exchange executes again after ${exchange.results}")
        }
        if (effect.grants.size != spec.tasks || effect.grants.any { it.resources != spec.resources }) {
            report(Point.GANG_PARTIAL, "$exchange executes with ${effect.grants.size} of ${spec.tasks} grants")
        }
    }

    /** Returns the exchange that the answer belongs to, or null if there is none. */
    fun answer(
        host: SchedulerHost,
        effect: Effect.Answer,
    ): Exchange? {
        val exchange = host.exchanges[effect.exchange]
        if (exchange == null) {
            report(Point.P3_OUTCOME, "${host.id} answers unknown exchange ${effect.exchange}")
            return null
        }
        val brokenOff = exchange.ending == Ending.BROKEN_OFF
        if (exchange.decided &&
            !brokenOff
        ) {
            report(Point.P3_OUTCOME, "$exchange gets a second outcome ${effect.outcome}")
        }
        exchange.decided = true
        if (host.stopping && effect.outcome is Outcome.Unknown) cutOff(exchange, "is answered ${effect.outcome}")
        return exchange
    }

    fun abandon(
        host: SchedulerHost,
        effect: Effect.Abandon,
    ) {
        if (host.stopping) host.exchanges[effect.exchange]?.let { cutOff(it, "is abandoned") }
    }

    fun stopCompleted(host: SchedulerHost) {
        val waiting = host.exchanges.values.filter { it.open && !it.callerGone }
        val open = waiting.firstOrNull { !it.decided || it.streaming != null } ?: return
        report(Point.P7_CUT_OFF, "${host.id} ends while $open is open")
    }

    /** Expects an outcome 1 s after the deadline, or 1 s after a pause that outlasted it. */
    fun awaitOutcome(exchange: Exchange) {
        val limit = Instant.ofEpochMilli(exchange.request.deadlineEpochMillis).plus(GRACE)
        val wait = Duration.between(exchange.host.clock.instant(), limit).toNanos() / NANOS_PER_MICRO
        world.timeline.after(wait.coerceAtLeast(GRACE_MICROS)) {
            val steadyFor = world.timeline.nowMicros - exchange.host.steadySinceMicros
            when {
                !exchange.open || exchange.streaming != null -> Unit
                exchange.host.frozen || steadyFor < GRACE_MICROS -> awaitOutcome(exchange)
                else -> report(Point.STUCK, "$exchange has no outcome after its deadline")
            }
        }
    }

    /** A stop is to blame only if the exchange was running, in time, and nothing else went wrong with it. */
    private fun cutOff(
        exchange: Exchange,
        how: String,
    ) {
        val inTime = exchange.host.clock.millis() < exchange.request.deadlineEpochMillis
        val runs = exchange.results.isNotEmpty() && exchange.results.values.all { it == null }
        if (runs && inTime && exchange.ending == null) {
            report(Point.P7_CUT_OFF, "$exchange $how while ${exchange.host.id} stops")
        }
    }

    private companion object {
        val GRACE: Duration = Duration.ofSeconds(1)
        const val GRACE_MICROS = 1_000_000L
        const val NANOS_PER_MICRO = 1_000L
    }
}
