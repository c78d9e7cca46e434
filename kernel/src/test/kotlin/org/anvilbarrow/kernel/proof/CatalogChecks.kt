package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.peer.PeerMessage

/** P8: catalogs follow the log, never go back, and nothing is served before a catalog is current. */
internal class CatalogChecks(
    private val world: World,
    private val report: Report,
) {
    private val appendedAtMicros = ArrayList<Long>()
    private val endAtStart = HashMap<Pair<SchedulerHost, Long>, Long>()
    private val appliedAtMicros = HashMap<Pair<SchedulerHost, Long>, HashMap<Long, Long>>()
    private val logSteadySince = HashMap<SchedulerHost, Long>()

    /** Notes when the latest records were appended. */
    fun appended() {
        while (appendedAtMicros.size < world.log.endOffset) appendedAtMicros.add(world.timeline.nowMicros)
    }

    fun check(
        host: SchedulerHost,
        before: SchedulerState,
        event: Event,
        effects: List<Effect>,
    ) {
        val started = endAtStart.getOrPut(host to host.process) { world.log.endOffset }
        val old = before.catalog
        val new = host.state.catalog
        if (new.appliedOffset < old.appliedOffset || (old.current && !new.current)) {
            report(Point.P8_CATALOG, "${host.id} goes back from offset ${old.appliedOffset} to ${new.appliedOffset}")
        }
        if (new !== old && new.objects() != world.reference.at(new.appliedOffset)) {
            report(Point.P8_CATALOG, "the catalog of ${host.id} at ${new.appliedOffset} differs from the log")
        }
        val needed = if (event is Event.LogRead) maxOf(started, host.previousOffset) else host.previousOffset
        if (new.current && new.appliedOffset < needed) {
            report(Point.P8_CATALOG, "${host.id} is current at ${new.appliedOffset}, before $needed")
        }
        val served = effects.filter { !new.current && serves(it) }
        if (served.isNotEmpty()) report(Point.P8_CATALOG, "${host.id} is not current: $served")
        if (new.appliedOffset != old.appliedOffset) {
            appliedAtMicros.getOrPut(host to host.process) { HashMap() }[new.appliedOffset] = world.timeline.nowMicros
        }
        if (event is Event.Tick) inForce(host)
    }

    private fun serves(effect: Effect): Boolean =
        when (effect) {
            is Effect.Execute -> true
            is Effect.SendToPeer ->
                when (val message = effect.message) {
                    is PeerMessage.Placed, is PeerMessage.Reserved -> true
                    is PeerMessage.NotPlaced -> readsCatalog(message.outcome)
                    else -> false
                }
            is Effect.Answer -> readsCatalog(effect.outcome)
            else -> false
        }

    private fun readsCatalog(outcome: Outcome) =
        (outcome as? Outcome.Refused)?.reason in setOf(RefusalReason.UNKNOWN_WORKLOAD, RefusalReason.NEVER_FITS)

    /** A scheduler that could read the log or hear a peer for 10 s has every record that is older there. */
    private fun inForce(host: SchedulerHost) {
        val now = world.timeline.nowMicros
        val reads = world.logAnswers(host) && !world.log.slow
        val since = if (reads) logSteadySince.getOrPut(host) { now } else now
        if (!reads) logSteadySince.remove(host)
        val fromLog =
            if (now - maxOf(since, host.steadySinceMicros) <= LIMIT_MICROS) {
                0
            } else {
                appendedAtMicros.indexOfLast { now - it > LIMIT_MICROS } + 1L
            }
        val due = maxOf(fromLog, world.hosts.maxOf { if (it === host) 0 else fromPeer(host, it, now - LIMIT_MICROS) })
        if (host.state.catalog.appliedOffset < due) {
            report(Point.P8_CATALOG, "${host.id} has applied ${host.state.catalog.appliedOffset}, but $due is 10 s old")
        }
    }

    /** Returns the offset that [peer] had applied at [sinceMicros], if nothing kept it from [host] since. */
    private fun fromPeer(
        host: SchedulerHost,
        peer: SchedulerHost,
        sinceMicros: Long,
    ): Long {
        val steady = listOf(host, peer).all { it.alive && !it.frozen && it.steadySinceMicros < sinceMicros }
        val heard =
            world.network.undisturbedSince(peer.name, host.name, sinceMicros) &&
                world.network.undisturbedSince(host.name, peer.name, sinceMicros)
        if (!steady || !heard) return 0
        val applied = appliedAtMicros[peer to peer.process].orEmpty()
        return applied.filterValues { it < sinceMicros }.keys.maxOrNull() ?: 0
    }

    private companion object {
        const val LIMIT_MICROS = 10_000_000L
    }
}
