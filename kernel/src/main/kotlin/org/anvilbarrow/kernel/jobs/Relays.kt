package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import java.time.Duration
import java.time.Instant

/**
 * Assigns to each upstream a relay: the process that calls it on behalf of the owner.
 *
 * Calls need more processor time than the decisions behind them, and take 60 ms longer across regions. They are spread
 * over the VMs in the upstream's region in proportion to their processors. One VM could decide every start but not make
 * every call: an owner with a third of a core may have several hundred upstreams.
 *
 * VMs with few processors call upstreams only if the others have too many: calls are answered sooner by larger VMs, and
 * a process that makes few calls spends most of its processor time on loading and compiling the code for them.
 *
 * Each change of relay raises the fencing token for the upstream. No two processes share a token, and late calls of an
 * earlier relay have no effect; [fence] does the same for late calls of the same relay. The tokens do not fall when an
 * upstream was gone: it may return as the same process.
 */
internal class Relays(
    private val state: CellState,
) {
    private val limits get() = state.limits
    private var members: Map<String, CellMember> = emptyMap()
    private val loads = HashMap<String, Int>()
    private val goneEpochs = GoneRelayEpochs()
    private var nextReviewAt: Instant = Instant.MIN

    fun setMembers(helpers: List<CellMember>) {
        members = helpers.associateBy { it.address }
        state.upstreams.values
            .filter { it.relay != null && it.relay !in members }
            .forEach(::detach)
    }

    /** Returns true if orders to [upstream] can be sent now. Assigns a relay if there is none. */
    fun isReady(upstream: Upstream): Boolean {
        if (upstream.relay != null) return true
        val chosen = choose(upstream) ?: return false
        attach(upstream, chosen)
        return true
    }

    /** Sends [order] through the relay of [upstream], which must be [isReady]. */
    fun send(
        upstream: Upstream,
        order: UpstreamOrder,
    ) {
        val via = checkNotNull(upstream.relay) { "$upstream has no relay" }
        state.emit(CellEffect.Order(via, order))
    }

    /**
     * Makes the orders that were sent to [upstream] so far have no effect there, once it has received a later one.
     *
     * Returns false if the upstream has used up its epochs for this, as the others are needed for changes of relay.
     */
    fun fence(upstream: Upstream): Boolean {
        if (upstream.relayEpoch >= MAX_FENCED_EPOCH) return false
        upstream.relayEpoch++
        return true
    }

    /** Continues the relay epochs of an upstream that was gone and is listed again. */
    fun discovered(upstream: Upstream) {
        upstream.relayEpoch = goneEpochs.take(upstream.id)
    }

    /** Removes the assignment of an upstream that is gone. */
    fun forget(upstream: Upstream) {
        if (upstream.relay != null) detach(upstream)
        goneEpochs.keep(upstream.id, upstream.relayEpoch)
    }

    /** Moves upstreams without open calls to relays that are closer or less loaded. */
    fun tick() {
        if (state.now.isBefore(nextReviewAt)) return
        nextReviewAt = state.now.plus(limits.relayReviewInterval)
        state.upstreams.values
            .asSequence()
            .filter { it.relay != null && isMovable(it) }
            .mapNotNull { upstream -> better(upstream)?.let { upstream to it } }
            .take(limits.maxRelayMoves)
            .toList()
            .forEach { (upstream, member) ->
                detach(upstream)
                attach(upstream, member)
            }
    }

    /** Two relays that call one upstream within the lease of the calls would look like two owners. */
    private fun isMovable(upstream: Upstream): Boolean =
        !upstream.observationPending &&
            Duration.between(upstream.relayedSince, state.now) > limits.minRelayHold &&
            upstream.runs.values.none { it.orderInFlight }

    private fun better(upstream: Upstream): CellMember? {
        val current = members[upstream.relay] ?: return null
        val best = choose(upstream) ?: return null
        if (best.address == current.address) return null
        val farther = distance(upstream, current) > distance(upstream, best)
        val smaller = current.cores < best.cores * limits.relayCoreRatio
        val busier = loadPerCore(current, 0) > loadPerCore(best, 1) * limits.relayImbalanceRatio
        return best.takeIf { farther || smaller || busier }
    }

    private fun choose(upstream: Upstream): CellMember? {
        val near = members.values.filter { distance(upstream, it) == 0 }
        if (near.isEmpty() && isStarting()) return null
        val reachable = near.ifEmpty { members.values }
        val mostCores = reachable.maxOfOrNull { it.cores } ?: return null
        return reachable
            .filter { it.cores >= mostCores * limits.relayCoreRatio && loadPerCore(it, 1) <= limits.maxLoadPerCore }
            .ifEmpty { reachable }
            .minByOrNull { loadPerCore(it, 1) }
    }

    /** True shortly after the claim, while the other processes connect to the new owner. */
    private fun isStarting(): Boolean = Duration.between(state.claimedAt, state.now) < limits.relayWait

    private fun distance(
        upstream: Upstream,
        member: CellMember,
    ): Int = if (upstream.region == null || upstream.region == member.region) 0 else 1

    private fun loadPerCore(
        member: CellMember,
        added: Int,
    ): Double {
        val reserved = if (member.address == state.self) limits.ownerCores else 0.0
        val cores = maxOf(member.cores - reserved, MIN_CORES)
        return ((loads[member.address] ?: 0) + added) / cores
    }

    private fun attach(
        upstream: Upstream,
        member: CellMember,
    ) {
        upstream.relay = member.address
        upstream.relayedSince = state.now
        upstream.relayEpoch++
        loads.merge(member.address, 1, Int::plus)
    }

    private fun detach(upstream: Upstream) {
        upstream.relay?.let { address -> loads.computeIfPresent(address) { _, load -> (load - 1).takeIf { it > 0 } } }
        upstream.relay = null
    }

    private companion object {
        /** Lower bound of a process's cores for calls, so that an owner without other processes makes all of them. */
        const val MIN_CORES = 0.02

        /** Upper bound of the epochs that [fence] uses: three quarters of those under one token. */
        const val MAX_FENCED_EPOCH = 3_072L
    }
}
