package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import java.time.Duration
import java.time.Instant

/**
 * Chooses for each upstream the process that calls it on the owner's behalf.
 *
 * Calls need more processor time than the decisions behind them, and 60 ms more across regions, so they are spread over
 * the VMs of the upstream's region by their processors. It answers loads at which one VM could decide
 * every start but not make every call: several hundred upstreams for an owner with a third of a core.
 *
 * Each change of the process gives the upstream a higher fencing token, so no two processes share one and what an
 * earlier process still sends has no effect.
 */
internal class Relays(
    private val state: CellState,
) {
    private val limits get() = state.limits
    private var members: Map<String, CellMember> = emptyMap()
    private val loads = HashMap<String, Int>()
    private var nextReviewAt: Instant = Instant.MIN

    fun use(helpers: List<CellMember>) {
        members = helpers.associateBy { it.address }
        state.upstreams.values
            .filter { it.relay != null && it.relay !in members }
            .forEach(::detach)
    }

    /** Returns true if orders to [upstream] can be sent now; chooses a process if there is none. */
    fun isReady(upstream: Upstream): Boolean {
        if (upstream.relay != null) return true
        val chosen = choose(upstream) ?: return false
        attach(upstream, chosen)
        return true
    }

    /** Sends [order] through the process of [upstream], which [isReady]. */
    fun send(
        upstream: Upstream,
        order: UpstreamOrder,
    ) {
        val via = checkNotNull(upstream.relay) { "$upstream has no process that calls it" }
        state.emit(CellEffect.Order(via, order))
    }

    /** Forgets an upstream that is gone. */
    fun forget(upstream: Upstream) {
        if (upstream.relay != null) detach(upstream)
    }

    /** Moves upstreams that nothing is open for to processes that are closer or less loaded. */
    fun tick() {
        if (state.now.isBefore(nextReviewAt)) return
        nextReviewAt = state.now.plus(limits.relayReview)
        state.upstreams.values
            .asSequence()
            .filter { it.relay != null && isMovable(it) }
            .mapNotNull { upstream -> better(upstream)?.let { upstream to it } }
            .take(limits.relayMoves)
            .toList()
            .forEach { (upstream, member) ->
                detach(upstream)
                attach(upstream, member)
            }
    }

    /** Two processes that call one upstream by turns within the lease of the calls would be taken for two owners. */
    private fun isMovable(upstream: Upstream): Boolean =
        !upstream.lookOpen &&
            Duration.between(upstream.relayedSince, state.now) > limits.relayHold &&
            upstream.runs.values.none { it.orderInFlight }

    private fun better(upstream: Upstream): CellMember? {
        val current = members[upstream.relay] ?: return null
        val best = choose(upstream) ?: return null
        if (best.address == current.address) return null
        val farther = distance(upstream, current) > distance(upstream, best)
        val busier = cost(current, 0) > cost(best, 1) * limits.relayImbalance
        return best.takeIf { farther || busier }
    }

    private fun choose(upstream: Upstream): CellMember? {
        val near = members.values.filter { distance(upstream, it) == 0 }
        if (near.isEmpty() && isStarting()) return null
        return near.ifEmpty { members.values }.minByOrNull { cost(it, 1) }
    }

    /** Right after a claim, the other processes are still connecting to the new owner. */
    private fun isStarting(): Boolean = Duration.between(state.claimedAt, state.now) < limits.relayWait

    private fun distance(
        upstream: Upstream,
        member: CellMember,
    ): Int = if (upstream.region == null || upstream.region == member.region) 0 else 1

    private fun cost(
        member: CellMember,
        added: Int,
    ): Double {
        val owned = if (member.address == state.self) limits.ownerCores else 0.0
        val cores = maxOf(member.cores - owned, MIN_CORES)
        return ((loads[member.address] ?: 0) + added) / cores
    }

    private fun attach(
        upstream: Upstream,
        member: CellMember,
    ) {
        upstream.relay = member.address
        upstream.relayedSince = state.now
        upstream.relayTurn++
        loads.merge(member.address, 1, Int::plus)
    }

    private fun detach(upstream: Upstream) {
        upstream.relay?.let { address -> loads.computeIfPresent(address) { _, load -> (load - 1).takeIf { it > 0 } } }
        upstream.relay = null
    }

    private companion object {
        /** Share of a core that a process always has for calls, so that an owner alone makes all of them. */
        const val MIN_CORES = 0.02
    }
}
