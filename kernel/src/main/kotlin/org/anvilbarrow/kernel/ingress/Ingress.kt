package org.anvilbarrow.kernel.ingress

import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.membership.knownHomeOf
import org.anvilbarrow.kernel.shard.homeShardOf
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.UnknownReason
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration
import java.time.Instant

/** Takes callers' requests to their homes and gives each its one outcome. */
internal object Ingress {
    /** Most requests that wait here for their home at the same time. */
    private const val MAX_OPEN_EXCHANGES = 20_000

    /** The home refuses at the deadline itself; the ingress answers if that word does not arrive. */
    private val DEADLINE_GRACE: Duration = Duration.ofMillis(300)

    private const val RETRY_SOON_MILLIS = 1_000L

    fun onRequest(
        turn: Turn,
        id: ExchangeId,
        request: WorkRequest,
    ) {
        check(id !in turn.state.ingress.exchanges) { "exchange $id arrived twice" }
        val awaiting = Exchange.Phase.AwaitingHome(null, Instant.EPOCH)
        val exchange = Exchange(id, request, round = 1, phase = awaiting)
        put(turn, exchange)
        val refusal = immediateRefusal(turn, request)
        if (refusal == null) askHome(turn, id) else finish(turn, exchange, unlessCopyRan(request, refusal))
    }

    fun onCallerGone(
        turn: Turn,
        id: ExchangeId,
    ) {
        val exchange = turn.state.ingress.exchanges[id] ?: return
        when (val phase = exchange.phase) {
            is Exchange.Phase.AwaitingHome -> {
                cancelAtHome(turn, exchange, phase)
                remove(turn, id)
            }
            is Exchange.Phase.Executing -> {
                turn.emit(Effect.Abandon(id))
                put(turn, exchange.copy(phase = phase.copy(abandoned = true, callerServed = true)))
            }
        }
    }

    fun onPlaced(
        turn: Turn,
        from: SchedulerId,
        placed: PeerMessage.Placed,
    ) {
        val exchange = turn.state.ingress.exchanges[placed.exchange] ?: return
        if (exchange.phase !is Exchange.Phase.AwaitingHome || exchange.round != placed.round) return
        val executing = Exchange.Phase.Executing(from, placed.grants, persistentMapOf(), abandoned = false)
        put(turn, exchange.copy(phase = executing, executions = exchange.executions + 1))
        scheduleCheck(turn, exchange.id, exchange.deadline)
        val spec =
            turn.state.catalog.workloads[exchange.request.workload]
                ?.spec
        turn.emit(
            Effect.Execute(
                exchange = exchange.id,
                workload = exchange.request.workload,
                requestId = exchange.request.id.value,
                grants = placed.grants,
                deadline = exchange.deadline,
                idempotent = spec?.idempotent == true,
                traceparent = exchange.request.traceparent,
            ),
        )
    }

    fun onNotPlaced(
        turn: Turn,
        notPlaced: PeerMessage.NotPlaced,
    ) {
        val exchange = turn.state.ingress.exchanges[notPlaced.exchange] ?: return
        if (exchange.phase !is Exchange.Phase.AwaitingHome || exchange.round != notPlaced.round) return
        val outcome = notPlaced.outcome
        if (outcome is Outcome.Refused && outcome.reason == RefusalReason.NOT_HOME) {
            val awaiting = Exchange.Phase.AwaitingHome(null, turn.now)
            put(turn, exchange.copy(round = exchange.round + 1, phase = awaiting))
            scheduleCheck(turn, exchange.id, turn.now + turn.limits.tick)
        } else {
            finish(turn, exchange, outcome)
        }
    }

    fun onTick(turn: Turn) {
        val due =
            turn.state.ingress.checks
                .collect(turn.now)
        turn.updateIngress { copy(checks = due.remaining) }
        due.keys.forEach { check(turn, it) }
    }

    /** Gives the caller its outcome and ends the exchange. */
    fun finish(
        turn: Turn,
        exchange: Exchange,
        outcome: Outcome,
    ) {
        turn.emit(Effect.Answer(exchange.id, truthful(exchange, outcome)))
        remove(turn, exchange.id)
    }

    fun remove(
        turn: Turn,
        id: ExchangeId,
    ) = turn.updateIngress {
        copy(exchanges = exchanges.remove(id), retryBudget = retryBudget.earn(turn.limits.retryBudgetRatio))
    }

    fun put(
        turn: Turn,
        exchange: Exchange,
    ) = turn.updateIngress { copy(exchanges = exchanges.put(exchange.id, exchange)) }

    /** Sends the request to its home, if one is known, and looks at it again later. */
    fun askHome(
        turn: Turn,
        id: ExchangeId,
    ) {
        val exchange = turn.state.ingress.exchanges[id] ?: return
        val shard = turn.state.catalog.homeShardOf(exchange.request)
        if (shard == null) return finish(turn, exchange, Outcome.Refused(RefusalReason.UNKNOWN_WORKLOAD))
        val home = turn.knownHomeOf(shard)
        if (home == null) return scheduleCheck(turn, id, turn.now + turn.limits.tick)
        put(turn, exchange.copy(phase = Exchange.Phase.AwaitingHome(home, turn.now)))
        scheduleCheck(turn, id, minOf(turn.now + turn.limits.peerReply, exchange.deadline + DEADLINE_GRACE))
        turn.send(home, PeerMessage.Place(id, exchange.round, exchange.request))
    }

    private fun immediateRefusal(
        turn: Turn,
        request: WorkRequest,
    ): Outcome.Refused? {
        val state = turn.state
        return when {
            !state.catalog.current -> Outcome.Refused(RefusalReason.NOT_READY, RETRY_SOON_MILLIS)
            state.stopping -> Outcome.Refused(RefusalReason.STOPPING, RETRY_SOON_MILLIS)
            state.catalog.homeShardOf(request) == null -> Outcome.Refused(RefusalReason.UNKNOWN_WORKLOAD)
            turn.now.toEpochMilli() >= request.deadlineEpochMillis -> Outcome.Refused(RefusalReason.DEADLINE_PASSED)
            state.ingress.exchanges.size >= MAX_OPEN_EXCHANGES ->
                Outcome.Refused(RefusalReason.QUEUE_FULL, RETRY_SOON_MILLIS)
            else -> null
        }
    }

    /** Without its home's word, a request is refused only if its caller sent no other copy that may have run. */
    private fun unlessCopyRan(
        request: WorkRequest,
        refusal: Outcome.Refused,
    ): Outcome =
        if (request.firstAttempt || refusal.reason == RefusalReason.UNKNOWN_WORKLOAD) {
            refusal
        } else {
            Outcome.Unknown(UnknownReason.HOME_NOT_ASKED, refusal.retryAfterMillis, refusal.reason.name.lowercase())
        }

    private fun check(
        turn: Turn,
        id: ExchangeId,
    ) {
        val exchange = turn.state.ingress.exchanges[id] ?: return
        when (val phase = exchange.phase) {
            is Exchange.Phase.AwaitingHome -> checkAwaiting(turn, exchange, phase)
            is Exchange.Phase.Executing -> Execution.checkDeadline(turn, exchange, phase)
        }
    }

    private fun checkAwaiting(
        turn: Turn,
        exchange: Exchange,
        phase: Exchange.Phase.AwaitingHome,
    ) {
        val id = exchange.id
        when {
            turn.now >= exchange.deadline + DEADLINE_GRACE -> giveUp(turn, exchange, phase)
            phase.home == null && turn.now >= exchange.deadline -> giveUp(turn, exchange, phase)
            turn.now >= phase.lastSentAt + turn.limits.peerReply || phase.home == null -> askHome(turn, id)
            else -> scheduleCheck(turn, id, phase.lastSentAt + turn.limits.peerReply)
        }
    }

    private fun giveUp(
        turn: Turn,
        exchange: Exchange,
        phase: Exchange.Phase.AwaitingHome,
    ) {
        cancelAtHome(turn, exchange, phase)
        finish(turn, exchange, Outcome.Unknown(UnknownReason.HOME_UNREACHABLE, RETRY_SOON_MILLIS))
    }

    private fun cancelAtHome(
        turn: Turn,
        exchange: Exchange,
        phase: Exchange.Phase.AwaitingHome,
    ) {
        phase.home?.let { turn.send(it, PeerMessage.Cancel(exchange.id, exchange.request.id)) }
    }

    private fun scheduleCheck(
        turn: Turn,
        id: ExchangeId,
        at: Instant,
    ) = turn.updateIngress { copy(checks = checks.schedule(id, at)) }

    /**
     * Returns the outcome that is true of this exchange.
     *
     * Its tasks start only here, so a request that was not started did not run; but a home that lost its memory, or
     * does not answer, cannot rule out that another copy of the id ran. A caller that sent no other copy is told so.
     */
    private fun truthful(
        exchange: Exchange,
        outcome: Outcome,
    ): Outcome =
        when (outcome) {
            is Outcome.Refused ->
                if (exchange.mayHaveRun) Outcome.Unknown(UnknownReason.CONNECTION_LOST) else outcome
            is Outcome.Unknown ->
                if (concernsOtherCopies(outcome.reason) && exchange.request.firstAttempt && !exchange.mayHaveRun) {
                    Outcome.Refused(RefusalReason.NO_HOME, RETRY_SOON_MILLIS, outcome.detail)
                } else {
                    outcome
                }
        }

    private fun concernsOtherCopies(reason: UnknownReason): Boolean =
        reason == UnknownReason.MEMORY_LOST || reason == UnknownReason.HOME_UNREACHABLE
}
