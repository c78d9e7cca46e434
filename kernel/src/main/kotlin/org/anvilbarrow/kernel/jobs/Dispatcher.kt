package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** Lets the [Planner] place waiting tasks, and asks for the advice that it lacks. */
internal class Dispatcher(
    private val state: CellState,
    private val runs: RunController,
) {
    private val limits get() = state.limits
    private val desk = AdviceDesk(limits)
    private val naming = AdviceNaming()

    fun helpersChanged(names: List<String>): Unit = desk.use(names)

    fun advised(
        call: Long,
        good: List<Ticket>?,
    ) {
        val ended = desk.ended(call) ?: return
        val step = ended.step
        val advice = step.advice
        if (good == null) {
            advice.retryAt = state.now.plus(limits.orderRetry)
            state.decided("advice-failed", step, "call $call")
        } else {
            val terms = state.queueOf(step.job)?.advice ?: return
            // Only an answer makes an upstream known; after a failed call it has to be asked about again.
            advice.asked += ended.named
            advice.answers++
            if (advice.firstAnswerAt == null) advice.firstAnswerAt = state.now
            naming.answered(step, ended.named.size, good.size)
            advice.tickets.clear()
            good.forEach {
                advice.allowed += it.upstream
                advice.tickets[it.upstream] = it.value
            }
            advice.validUntil = state.now.plus(terms.validity).minus(limits.ticketMargin)
        }
        state.dispatchNeeded = true
    }

    /** Gives up overdue calls for advice. */
    fun tick() {
        desk.expired(state.now).forEach { advised(it, null) }
    }

    /** Starts what can be started now. */
    fun dispatch() {
        state.dispatchNeeded = false
        val config = state.config ?: return
        val usable = state.upstreams.values.filter { it.isRecorded && it.isUsable(state.now) }
        val steps = state.ready.filter { it.job.queue in config.queues && !it.job.blockedByTakeover }
        steps.groupBy { config.queues.getValue(it.job.queue).pool }.forEach { (pool, waiting) ->
            dispatchPool(pool, waiting, usable.filter { it.entry?.pool == pool })
        }
    }

    /** Upstreams that calls for advice may name: the answer outlives a short outage of an upstream. */
    private fun listed(pool: String): List<UpstreamId> =
        state.upstreams.values
            .filter { it.isListed && it.entry?.pool == pool && it.entry?.draining == false }
            .map { it.id }

    private fun dispatchPool(
        pool: String,
        steps: List<StepRun>,
        usable: List<Upstream>,
    ) {
        val listed = listed(pool)
        val rooms = usable.map(::room)
        val rank = Ranking(state)
        val demands =
            steps.mapNotNull { step ->
                val terms = rank.queueOf(step).advice
                if (terms != null && step.advice.allowed.isEmpty()) {
                    if (mayAsk(step)) ask(step, terms, naming.choose(step, rooms, listed))
                    null
                } else {
                    demandOf(step, rank, terms != null)
                }
            }
        val plan = Planner(rooms).plan(demands)
        carryOut(plan, rank, listed)
    }

    private fun room(upstream: Upstream): Room {
        val entry = checkNotNull(upstream.entry) { "$upstream is usable without an entry" }
        return Room(upstream.id, upstream.capacity, upstream.used, entry.labels, entry.rack)
    }

    private fun demandOf(
        step: StepRun,
        rank: Ranking,
        advised: Boolean,
    ): Demand? {
        if (!step.job.stored) return null
        val tasks = step.startable().ifEmpty { return null }
        val ranked = rank.of(step)
        return Demand(
            step = step,
            rank = ranked,
            tasks = tasks,
            permitted = if (advised) permitted(step) else null,
            patient = laxity(step, ranked) > limits.patience,
            ticketed = !advised || step.advice.isFresh(state.now),
            runningOn = { id -> state.upstreams[id]?.let(step::countOn) ?: 0 },
            avoids = { id -> step.failedOn.any { it.id == id } },
        )
    }

    /** How long [step] can wait and still meet the objective of its job. */
    private fun laxity(
        step: StepRun,
        rank: Rank,
    ): Duration = Duration.between(state.now, rank.deadline).minusMillis(step.job.remainingCriticalPath(step.ref.step))

    /** With valid tickets, the upstreams that have one: a good one that was not asked about again would reject. */
    private fun permitted(step: StepRun): Set<UpstreamId> =
        if (step.advice.isFresh(state.now)) step.advice.tickets.keys else step.advice.allowed

    /** False while a call about [step] is open, or soon after one that failed. */
    private fun mayAsk(step: StepRun): Boolean = step.advice.call == null && !state.now.isBefore(step.advice.retryAt)

    private fun ask(
        step: StepRun,
        terms: AdviceTerms,
        upstreams: Collection<UpstreamId>,
    ) {
        val named = upstreams.take(AdviceNaming.MOST_NAMES)
        if (named.isEmpty() || !mayAsk(step)) return
        val placed = desk.place(step, named, terms.cost(named.size), state.now) ?: return
        state.emit(CellEffect.Advise(placed.call, placed.helper, step.ref, named, placed.timeout))
    }

    private fun carryOut(
        plan: Plan,
        rank: Ranking,
        listed: List<UpstreamId>,
    ) {
        plan.placements.groupBy { it.demand }.forEach { (demand, placements) ->
            val step = demand.step
            val gangRun = if (step.spec.gang) state.nextRun() else null
            placements.forEach {
                runs.start(step, it.task, state.upstreams.getValue(it.upstream), gangRun ?: state.nextRun())
            }
            state.decided("step-placed", step, "${placements.size} task(s), ${waits(step)}")
            if (step.waiting.isEmpty) state.ready -= step
        }
        plan.ticketsNeeded.forEach { demand ->
            rank.queueOf(demand.step).advice?.let { ask(demand.step, it, usableGood(demand.step)) }
        }
        askAboutMore(plan.blocked, rank, listed)
        keepFresh(plan.blocked, rank)
    }

    private fun waits(step: StepRun): String {
        val acceptedAt = step.job.acceptedAt
        val advised = step.advice.firstAnswerAt?.let { Duration.between(acceptedAt, it) }
        val waited = Duration.between(acceptedAt, state.now)
        return "waited $waited, advised after $advised, ${step.advice.answers} call(s)"
    }

    private fun usableGood(step: StepRun): List<UpstreamId> =
        step.advice.allowed.filter { state.upstreams[it]?.isUsable(state.now) == true }

    /** Steps that do not fit where they may run ask about upstreams that came since their first call. */
    private fun askAboutMore(
        blocked: List<Demand>,
        rank: Ranking,
        listed: List<UpstreamId>,
    ) {
        for (demand in blocked) {
            val terms = rank.queueOf(demand.step).advice ?: continue
            val unknown = listed.filter { it !in demand.step.advice.asked }
            if (unknown.isNotEmpty()) ask(demand.step, terms, usableGood(demand.step) + unknown)
        }
    }

    /** Keeps tickets of the first blocked steps valid whose calls are long, so that room is used at once. */
    private fun keepFresh(
        blocked: List<Demand>,
        rank: Ranking,
    ) {
        for (demand in blocked.take(FRESH_STEPS)) {
            val terms = rank.queueOf(demand.step).advice ?: continue
            val named = usableGood(demand.step)
            val cost = terms.cost(named.size)
            val lapsesSoon = state.now.plus(cost).isAfter(demand.step.advice.validUntil)
            if (cost > limits.longAdvice && lapsesSoon && desk.hasIdleLongHelper()) ask(demand.step, terms, named)
        }
    }

    private companion object {
        const val FRESH_STEPS = 3
    }
}
