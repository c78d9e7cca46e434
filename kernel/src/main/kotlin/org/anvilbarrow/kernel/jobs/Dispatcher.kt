package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.runtimes.UpstreamSpeed
import org.anvilbarrow.kernel.workspaces.ResourceTotals
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** Starts waiting tasks where the [Planner] places them, and requests missing advice and tickets. */
internal class Dispatcher(
    private val state: CellState,
    private val runs: RunController,
    /** Returns what a workspace may still start, or null if it has no limit. */
    private val unused: (workspace: String) -> ResourceTotals?,
) {
    private val limits get() = state.limits
    private val balancer = AdviceCallBalancer(limits)
    private val selector = AdviceCandidateSelector()
    private val containment = CrashContainment(limits)

    fun helpersChanged(names: List<String>): Unit = balancer.setHelpers(names)

    fun advised(
        call: Long,
        good: List<Ticket>?,
    ) {
        val ended = balancer.ended(call) ?: return
        val step = ended.step
        val advice = step.advice
        // An answer that names other upstreams than the call is not its own, and denies nothing either.
        if (good == null || good.any { it.upstream !in ended.named }) {
            advice.retryAt = state.now.plus(limits.orderRetry)
            state.decided("advice-failed", step, "call $call")
        } else {
            val terms = state.queueOf(step.job)?.advice ?: return
            // Upstreams of a failed request are not recorded, so that the next request names them again.
            val isRevoking = advice.record(ended.named.toSet(), good)
            if (isRevoking) state.decided("advice-contradicted", step, "call $call denies what an earlier one allowed")
            if (advice.firstAnswerAt == null) advice.firstAnswerAt = state.now
            selector.recordAnswer(step, ended.named.size, advice.tickets.size)
            advice.validUntil = state.now.plus(terms.validity).minus(limits.ticketMargin)
            advice.renewAt = state.now.plus(laxityOf(step, Ranking(state).of(step)).renewalPause)
        }
        state.dispatchNeeded = true
    }

    /** Fails overdue advice requests. */
    fun tick() {
        balancer.expired(state.now).forEach { advised(it, null) }
    }

    /** Starts all tasks that can start now. */
    fun dispatch() {
        state.dispatchNeeded = false
        val config = state.config ?: return
        // Capacities may have shrunk since.
        if (state.now.isAfter(state.listConfirmedAt.plus(limits.maxListAge))) return
        val usable = state.upstreams.values.filter { it.isRecorded && it.isUsable(state.now) }
        val steps = state.ready.filter { it.job.queue in config.queues && !it.job.blockedByTakeover }
        steps.groupBy { config.queues.getValue(it.job.queue).pool }.forEach { (pool, waiting) ->
            dispatchPool(pool, waiting, usable.filter { it.entry?.pool == pool })
        }
    }

    /**
     * Upstreams that advice requests may name.
     *
     * Unreachable ones are included, because the advice stays valid after a short outage.
     */
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
        val averageSpeed = UpstreamSpeed.averageOf(usable.map { it.speed })
        val suspects = state.suspectRuns.groupBy { it.upstream }
        val targets = usable.map { target(it, averageSpeed, suspects[it].orEmpty()) }
        val rank = Ranking(state)
        val budget = WorkspaceBudget(unused)
        val demands =
            steps.mapNotNull { step ->
                val terms = rank.queueOf(step).advice
                if (terms != null && step.advice.allowed.isEmpty()) {
                    // Tickets that lapse while the workspace is at its limit would only delay other steps.
                    val isWithinLimit = budget.fitCount(step.job.workspace, step.spec.resources, 1) > 0
                    if (isWithinLimit && mayRequestAdvice(step)) {
                        val yields = laxityOf(step, rank.of(step)).yieldsCapacity
                        requestAdvice(step, terms, selector.choose(step, targets, listed, yields))
                    }
                    null
                } else {
                    demandOf(step, rank, terms != null)
                }
            }
        val plan = Planner(targets, budget).plan(demands)
        recordLimited(demands, plan.limited)
        applyPlan(plan, rank, listed, targets)
    }

    /** Logs the steps that the limit of their workspace starts to hold back. */
    private fun recordLimited(
        demands: List<Demand>,
        limited: Set<Demand>,
    ) {
        demands.forEach { demand ->
            val isLimited = demand in limited
            if (isLimited && !demand.step.isLimited) {
                val workspace = checkNotNull(demand.workspace) { "${demand.step} is limited without a workspace" }
                state.decided(
                    "step-limited",
                    demand.step,
                    "workspace $workspace uses ${state.usage.usedBy(workspace)} of ${state.limitOf(workspace)}",
                )
            }
            demand.step.isLimited = isLimited
        }
    }

    private fun target(
        upstream: Upstream,
        averageSpeed: Double,
        suspects: List<Run>,
    ): PlacementTarget {
        val entry = checkNotNull(upstream.entry) { "$upstream is usable without an entry" }
        return PlacementTarget(
            upstream.id,
            upstream.capacity,
            upstream.used,
            entry.labels,
            entry.rack,
            restarts = upstream.restarts,
            hasOpenStart = upstream.hasOpenStart,
            suspects = suspects.size,
            isIsolated = suspects.any(::isIsolated),
            speedLevel = upstream.speed.level(averageSpeed),
            usedForGood = upstream.usedForGood,
        )
    }

    /** True if no other suspect may start beside [run], which is on probation. */
    private fun isIsolated(run: Run): Boolean {
        val crashes = run.step?.crashes ?: return false
        return crashes.possibleCount(run.task.index) >= limits.crashesBeforeIsolation
    }

    private fun demandOf(
        step: StepRun,
        rank: Ranking,
        advised: Boolean,
    ): Demand? {
        if (!step.job.stored) return null
        val hasTickets = !advised || step.advice.isFresh(state.now)
        if (!hasTickets && state.now.isBefore(step.advice.renewAt)) return null
        val tasks = containment.startable(step, step.startable()).ifEmpty { return null }
        val ranked = rank.of(step)
        val laxity = laxityOf(step, ranked)
        return Demand(
            step = step,
            rank = ranked,
            tasks = tasks,
            permitted = if (advised) permitted(step) else null,
            slowestTolerated = laxity.slowestTolerated,
            slowestInTime = laxity.slowestInTime,
            yieldsCapacity = laxity.yieldsCapacity,
            hasTickets = hasTickets,
            runningCountOn = { id -> state.upstreams[id]?.let(step::countOn) ?: 0 },
            suspects = step.crashes.suspectsAmong(tasks, limits.crashesBeforeIsolation),
            hasFailedOn = { id -> step.failedOn.any { it.id == id } },
        )
    }

    private fun laxityOf(
        step: StepRun,
        rank: Rank,
    ) = StepLaxity(step, rank, state.now, limits)

    /**
     * Upstreams that may run [step].
     *
     * While tickets are valid, only upstreams with a ticket: others that were allowed earlier would reject the start.
     */
    private fun permitted(step: StepRun): Set<UpstreamId> =
        if (step.advice.isFresh(state.now)) step.advice.tickets.keys else step.advice.allowed

    /** False while an advice request for [step] is open, and for a short time after one that failed. */
    private fun mayRequestAdvice(step: StepRun): Boolean =
        step.advice.call == null && !state.now.isBefore(step.advice.retryAt)

    private fun requestAdvice(
        step: StepRun,
        terms: AdviceTerms,
        upstreams: Collection<UpstreamId>,
    ) {
        val named = upstreams.take(AdviceCandidateSelector.MAX_UPSTREAMS)
        if (named.isEmpty() || !mayRequestAdvice(step)) return
        val assigned = balancer.assign(step, named, terms.cost(named.size), state.now) ?: return
        state.emit(CellEffect.Advise(assigned.call, assigned.helper, step.ref, named, assigned.timeout))
    }

    private fun applyPlan(
        plan: Plan,
        rank: Ranking,
        listed: List<UpstreamId>,
        targets: List<PlacementTarget>,
    ) {
        plan.placements.groupBy { it.demand }.forEach { (demand, placements) ->
            val step = demand.step
            val gangRunNumber = if (step.spec.gang) state.nextRunNumber() else null
            placements.forEach {
                runs.start(step, it.task, state.upstreams.getValue(it.upstream), gangRunNumber ?: state.nextRunNumber())
            }
            state.decided("step-placed", step, "${placements.size} task(s), ${waitSummary(step)}")
            if (step.waiting.isEmpty) state.ready -= step
        }
        plan.ticketsNeeded.forEach { demand ->
            rank.queueOf(demand.step).advice?.let { requestAdvice(demand.step, it, usableAllowed(demand.step)) }
        }
        requestAdviceOnNewUpstreams(plan.blocked, rank, listed, targets)
        refreshTickets(plan.blocked, rank)
    }

    private fun waitSummary(step: StepRun): String {
        val acceptedAt = step.job.acceptedAt
        val advised = step.advice.firstAnswerAt?.let { Duration.between(acceptedAt, it) }
        val waited = Duration.between(acceptedAt, state.now)
        val times = "expected ${step.expected} for an estimate of ${step.spec.estimate}"
        return "waited $waited, advised after $advised, ${step.advice.answers} call(s), $times"
    }

    private fun usableAllowed(step: StepRun): List<UpstreamId> =
        step.advice.allowed.filter { state.upstreams[it]?.isUsable(state.now) == true }

    /** Requests advice on upstreams not asked about before, for steps that do not fit on their allowed ones. */
    private fun requestAdviceOnNewUpstreams(
        blocked: List<Demand>,
        rank: Ranking,
        listed: List<UpstreamId>,
        targets: List<PlacementTarget>,
    ) {
        for (demand in blocked.filter { mayRequestAdvice(it.step) }) {
            val step = demand.step
            val terms = rank.queueOf(step).advice ?: continue
            val unasked = selector.unasked(step, targets, listed, demand.yieldsCapacity)
            if (unasked.isNotEmpty()) requestAdvice(step, terms, usableAllowed(step) + unasked)
        }
    }

    /**
     * Renews tickets before they expire for the first blocked steps whose advice requests take long.
     *
     * These steps can then start as soon as capacity is free.
     */
    private fun refreshTickets(
        blocked: List<Demand>,
        rank: Ranking,
    ) {
        for (demand in blocked.take(MAX_REFRESHED_STEPS)) {
            val terms = rank.queueOf(demand.step).advice ?: continue
            val named = usableAllowed(demand.step)
            val cost = terms.cost(named.size)
            val expires =
                state.now
                    .plus(cost)
                    .plus(limits.ticketMargin)
                    .isAfter(demand.step.advice.validUntil)
            if (cost > limits.longAdvice && expires && balancer.hasLongSlot()) requestAdvice(demand.step, terms, named)
        }
    }

    private companion object {
        const val MAX_REFRESHED_STEPS = 3
    }
}
