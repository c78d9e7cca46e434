package org.anvilbarrow.kernel.ingress

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.UnknownReason
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.peer.TaskResult
import java.time.Instant

/** Follows the tasks of an exchange to their end and decides what the caller is told. */
internal object Execution {
    private const val RETRY_SOON_MILLIS = 1_000L

    fun onTaskFinished(
        turn: Turn,
        finished: Event.TaskFinished,
    ) {
        val exchange = turn.state.ingress.exchanges[finished.exchange] ?: return
        val phase = exchange.phase as? Exchange.Phase.Executing ?: return
        val grant = phase.grants.find { it.task == finished.task } ?: return
        if (finished.task in phase.results) return
        val result = if (phase.abandoned && finished.result == TaskResult.LOST) TaskResult.STOPPED else finished.result
        report(turn, grant, phase.home, result)
        val updated =
            phase.copy(
                results = phase.results.put(finished.task, result),
                answerStarted = phase.answerStarted || finished.answerStarted,
            )
        proceed(turn, exchange, updated, result)
    }

    fun onAnswerStarted(
        turn: Turn,
        id: ExchangeId,
    ) {
        val exchange = turn.state.ingress.exchanges[id] ?: return
        val phase = exchange.phase as? Exchange.Phase.Executing ?: return
        Ingress.put(turn, exchange.copy(phase = phase.copy(answerStarted = true)))
    }

    /** Gives the caller its outcome at the deadline, unless the answer is already on its way. */
    fun checkDeadline(
        turn: Turn,
        exchange: Exchange,
        phase: Exchange.Phase.Executing,
    ) {
        if (turn.now < exchange.deadline || phase.answerStarted || phase.callerServed) return
        turn.emit(Effect.Abandon(exchange.id))
        turn.emit(Effect.Answer(exchange.id, Outcome.Unknown(UnknownReason.DEADLINE_PASSED)))
        Ingress.put(turn, exchange.copy(phase = phase.copy(abandoned = true, callerServed = true)))
    }

    private fun proceed(
        turn: Turn,
        exchange: Exchange,
        phase: Exchange.Phase.Executing,
        result: TaskResult,
    ) {
        val isComplete = phase.results.size == phase.grants.size
        val isHopeless = result != TaskResult.ANSWERED && !phase.abandoned && !phase.answerStarted
        if (isComplete) return conclude(turn, exchange, phase)
        if (isHopeless) turn.emit(Effect.Abandon(exchange.id))
        Ingress.put(turn, exchange.copy(phase = phase.copy(abandoned = phase.abandoned || isHopeless)))
    }

    private fun conclude(
        turn: Turn,
        exchange: Exchange,
        phase: Exchange.Phase.Executing,
    ) {
        val results = phase.results.values
        val mayHaveRun = exchange.mayHaveRun || results.any { it != TaskResult.NOT_RUN }
        val ended = exchange.copy(phase = phase, mayHaveRun = mayHaveRun)
        when {
            phase.callerServed -> Ingress.remove(turn, exchange.id)
            phase.results[phase.grants.first().task] == TaskResult.ANSWERED -> Ingress.remove(turn, exchange.id)
            phase.answerStarted -> Ingress.finish(turn, ended, Outcome.Unknown(UnknownReason.CONNECTION_LOST))
            mayRetry(turn, ended, results) -> retry(turn, ended)
            else -> Ingress.finish(turn, ended, failure(results))
        }
    }

    private fun mayRetry(
        turn: Turn,
        exchange: Exchange,
        results: Collection<TaskResult>,
    ): Boolean {
        val inTime = exchange.executions < turn.limits.maxExecutions && turn.now < exchange.deadline
        val isIdempotent =
            turn.state.catalog.workloads[exchange.request.workload]
                ?.spec
                ?.idempotent == true
        val certainlyNotRun = results.all { it == TaskResult.NOT_RUN }
        return inTime && (certainlyNotRun || isIdempotent && turn.state.ingress.retryBudget.allowsRetry)
    }

    private fun retry(
        turn: Turn,
        exchange: Exchange,
    ) {
        if (exchange.mayHaveRun) turn.updateIngress { copy(retryBudget = retryBudget.spend()) }
        val awaiting = Exchange.Phase.AwaitingHome(null, Instant.EPOCH)
        Ingress.put(turn, exchange.copy(round = exchange.round + 1, phase = awaiting))
        Ingress.askHome(turn, exchange.id)
    }

    private fun failure(results: Collection<TaskResult>): Outcome =
        when {
            results.all { it == TaskResult.NOT_RUN } ->
                Outcome.Refused(RefusalReason.UPSTREAM_REFUSED, RETRY_SOON_MILLIS)
            TaskResult.FAILED in results -> Outcome.Unknown(UnknownReason.TASK_FAILED)
            else -> Outcome.Unknown(UnknownReason.CONNECTION_LOST)
        }

    private fun report(
        turn: Turn,
        grant: Grant,
        home: SchedulerId,
        result: TaskResult,
    ) {
        val ended = PeerMessage.TaskEnded(grant.task, grant.upstream, result)
        turn.send(grant.owner, ended)
        if (home != grant.owner) turn.send(home, ended)
    }
}
