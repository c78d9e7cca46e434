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
        if (!new.current) {
            effects
                .firstOrNull(
                    ::serves,
                )?.let { report(Point.P8_CATALOG, "${host.id} is not current: $it") }
        }
        if (event is Event.Tick) inForce(host)
    }

    private fun serves(effect: Effect): Boolean =
        when (effect) {
            is Effect.Execute -> true
            is Effect.SendToPeer -> effect.message is PeerMessage.Placed || effect.message is PeerMessage.Reserved
            is Effect.Answer ->
                (effect.outcome as? Outcome.Refused)?.reason in
                    setOf(RefusalReason.UNKNOWN_WORKLOAD, RefusalReason.NEVER_FITS)
            else -> false
        }

    /** A scheduler that could read the log for 10 s has every record that is older. */
    private fun inForce(host: SchedulerHost) {
        val now = world.timeline.nowMicros
        val reads = world.logAnswers(host) && !world.log.slow
        val since = if (reads) logSteadySince.getOrPut(host) { now } else null
        if (since == null) logSteadySince.remove(host)
        val steadySince = maxOf(since ?: now, host.steadySinceMicros)
        if (now - steadySince <= LIMIT_MICROS) return
        val due = appendedAtMicros.indexOfLast { now - it > LIMIT_MICROS } + 1L
        if (host.state.catalog.appliedOffset < due) {
            report(Point.P8_CATALOG, "${host.id} has applied ${host.state.catalog.appliedOffset}, but $due is 10 s old")
        }
    }

    private companion object {
        const val LIMIT_MICROS = 10_000_000L
    }
}
