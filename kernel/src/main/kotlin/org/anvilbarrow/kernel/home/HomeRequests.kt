package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.ledger.Grants
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UnknownReason
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.peer.TaskResult
import java.time.Duration

/** Follows accepted requests until their tasks ended. */
internal object HomeRequests {
    /** How long after its deadline a granted request is kept for a late report of its end. */
    private val LATE_REPORT: Duration = Duration.ofSeconds(10)

    fun onTick(turn: Turn) {
        val due =
            turn.state.home.requestChecks
                .collect(turn.now)
        turn.updateHome { copy(requestChecks = due.remaining) }
        due.keys.forEach { checkDeadline(turn, it) }
        expireIds(turn)
        forgetAbandonedTasks(turn)
    }

    fun onCancel(
        turn: Turn,
        from: SchedulerId,
        exchange: ExchangeId,
    ) {
        val request = turn.state.home.requests[PlacementKey(from, exchange)] ?: return
        if (request.phase !is HomeRequest.Phase.Granted) giveUp(turn, request)
    }

    fun onTaskEnded(
        turn: Turn,
        ended: PeerMessage.TaskEnded,
    ) {
        val key = turn.state.home.tasks[ended.task] ?: return
        val request = turn.state.home.requests[key] ?: return
        val phase = request.phase as? HomeRequest.Phase.Granted ?: return
        val running = phase.running.remove(ended.task)
        if (ended.result == TaskResult.ANSWERED) learn(turn, request, phase)
        turn.updateHome { copy(tasks = tasks.remove(ended.task)) }
        val keep = running.isNotEmpty() || ended.result != TaskResult.ANSWERED
        val updated = request.copy(phase = phase.copy(running = running))
        turn.updateHome { copy(requests = if (keep) requests.put(key, updated) else requests.remove(key)) }
    }

    /** Tells the ingresses of all requests of [shard] that are not granted to look for another home. */
    fun turnAway(
        turn: Turn,
        shard: ShardId,
    ) {
        turn.state.home.requests.values
            .filter { it.shard == shard && it.phase !is HomeRequest.Phase.Granted }
            .forEach { request ->
                giveUp(turn, request)
                notPlaced(turn, request, Outcome.Refused(RefusalReason.NOT_HOME))
            }
    }

    /** Ends a request that was not granted and forgets its id, as it did not run. */
    fun giveUp(
        turn: Turn,
        request: HomeRequest,
    ) {
        val phase = request.phase
        if (phase is HomeRequest.Phase.Reserving) cancelReservations(turn, phase)
        remove(turn, request)
        turn.updateHome {
            val office = offices[request.shard] ?: return@updateHome this
            copy(offices = offices.put(request.shard, office.forget(request.request.id)))
        }
    }

    fun notPlaced(
        turn: Turn,
        request: HomeRequest,
        outcome: Outcome,
    ) {
        val told = truthful(turn, request.shard, request.request, outcome)
        turn.send(request.key.ingress, PeerMessage.NotPlaced(request.key.exchange, request.round, told))
    }

    /**
     * Returns the outcome that this home can vouch for.
     *
     * An idempotent request is accepted without a complete memory of its id. If it does not run after all, another copy
     * of it may still have run under an earlier home.
     */
    fun truthful(
        turn: Turn,
        shard: ShardId,
        request: WorkRequest,
        outcome: Outcome,
    ): Outcome {
        if (outcome !is Outcome.Refused ||
            outcome.reason == RefusalReason.NOT_HOME ||
            request.firstAttempt
        ) {
            return outcome
        }
        val office = turn.state.home.offices[shard]
        val isMemoryComplete =
            office?.isValid(turn.now) == true && request.issuedAtEpochMillis >= office.completeSince.toEpochMilli()
        return if (isMemoryComplete) outcome else Outcome.Unknown(UnknownReason.MEMORY_LOST, outcome.retryAfterMillis)
    }

    /** Hands back grants that no ingress has seen, and gives up those that are still asked for. */
    fun cancelReservations(
        turn: Turn,
        phase: HomeRequest.Phase.Reserving,
    ) {
        phase.grants.forEach { handBack(turn, it) }
        turn.updateHome {
            copy(
                tasks = (phase.asked + phase.grants.map { it.task }).fold(tasks) { left, task -> left.remove(task) },
                abandonedTasks = phase.asked.fold(abandonedTasks) { map, task -> map.put(task, turn.now) },
            )
        }
    }

    /** Returns a grant that no ingress has seen to its owner; its task will never start. */
    fun handBack(
        turn: Turn,
        grant: Grant,
    ) {
        if (grant.owner == turn.self) {
            Grants.release(turn, grant.upstream, grant.task)
        } else {
            val ended = PeerMessage.TaskEnded(grant.task, grant.upstream, TaskResult.NOT_RUN)
            turn.send(grant.owner, ended)
        }
    }

    fun remove(
        turn: Turn,
        request: HomeRequest,
    ) {
        turn.updateHome {
            copy(
                requests = requests.remove(request.key),
                queue = queue.remove(request.request.workload, request.key),
            )
        }
    }

    private fun checkDeadline(
        turn: Turn,
        key: PlacementKey,
    ) {
        val request = turn.state.home.requests[key] ?: return
        when {
            turn.now < request.deadline ->
                turn.updateHome { copy(requestChecks = requestChecks.schedule(key, request.deadline)) }
            request.phase !is HomeRequest.Phase.Granted -> {
                giveUp(turn, request)
                notPlaced(turn, request, Outcome.Refused(RefusalReason.DEADLINE_PASSED))
            }
            turn.now < request.deadline + LATE_REPORT ->
                turn.updateHome { copy(requestChecks = requestChecks.schedule(key, request.deadline + LATE_REPORT)) }
            else -> forgetGranted(turn, request, request.phase)
        }
    }

    private fun forgetGranted(
        turn: Turn,
        request: HomeRequest,
        phase: HomeRequest.Phase.Granted,
    ) {
        remove(turn, request)
        forgetTasks(turn, phase)
    }

    fun forgetTasks(
        turn: Turn,
        phase: HomeRequest.Phase.Granted,
    ) {
        turn.updateHome { copy(tasks = phase.grants.fold(tasks) { left, grant -> left.remove(grant.task) }) }
    }

    private fun learn(
        turn: Turn,
        request: HomeRequest,
        phase: HomeRequest.Phase.Granted,
    ) {
        val run = Duration.between(phase.grantedAt, turn.now)
        turn.updateHome { copy(runTimes = runTimes.learn(request.request.workload, run)) }
    }

    private fun expireIds(turn: Turn) {
        val due =
            turn.state.home.idExpiry
                .collect(turn.now)
        if (due.keys.isEmpty()) return turn.updateHome { copy(idExpiry = due.remaining) }
        val oldest = turn.now - turn.limits.idRetention
        turn.updateHome {
            val offices =
                due.keys.fold(offices) { all, key ->
                    val office = all[key.shard]
                    if (office == null) all else all.put(key.shard, office.expire(key.id, oldest))
                }
            copy(idExpiry = due.remaining, offices = offices)
        }
    }

    private fun forgetAbandonedTasks(turn: Turn) {
        val old =
            turn.state.home.abandonedTasks
                .filterValues { it + LATE_REPORT < turn.now }
                .keys
        if (old.isEmpty()) return
        turn.updateHome { copy(abandonedTasks = old.fold(abandonedTasks) { left, task -> left.remove(task) }) }
    }
}
