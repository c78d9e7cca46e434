package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.catalog.Catalog
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.upstream.LeaseReply

private val LAX_UPSTREAMS = UpstreamRules(checksStarts = false)

private fun Grant.forever() = copy(startByUpstreamMillis = Long.MAX_VALUE)

/** An owner that skips its lease check, on upstreams that do not compare epochs. */
internal class IgnoresLeases : Mutation() {
    override val upstreamRules = LAX_UPSTREAMS

    override fun onEffects(effects: List<Effect>) =
        effects.map { if (it is Effect.Execute) it.copy(grants = it.grants.map(Grant::forever)) else it }
}

/** An ingress that carries out a placement twice. */
internal class ExecutesTwice : Mutation() {
    override fun onEffects(effects: List<Effect>) =
        effects.flatMap { if (it is Effect.Execute) listOf(it, again(it)) else listOf(it) }

    private fun again(effect: Effect.Execute) =
        effect.copy(grants = effect.grants.map { it.copy(task = TaskId("${it.task}-again")) })
}

/** Upstreams that lease themselves to everyone, so that a scheduler is home without a real majority. */
internal class HomeWithoutMajority : Mutation() {
    override val upstreamRules = UpstreamRules(checksStarts = false, oneLeaseHolder = false)
}

/** A process that takes an empty catalog for current. */
internal class StaleCatalogAfterRestart : Mutation() {
    override fun onStart(
        state: SchedulerState,
        previous: SchedulerState?,
    ) = if (previous == null) state else state.copy(catalog = Catalog(current = true))
}

/** A gang that starts with half of its grants. */
internal class HalfAGang : Mutation() {
    override fun onEffects(effects: List<Effect>) =
        effects.map { if (it is Effect.Execute) it.copy(grants = it.grants.take((it.grants.size + 1) / 2)) else it }
}

/** Every outcome is given twice. */
internal class AnswersTwice : Mutation() {
    override fun onEffects(effects: List<Effect>) =
        effects.flatMap { if (it is Effect.Answer) listOf(it, it) else listOf(it) }
}

/** Outcomes go to another exchange. */
internal class AnswersAnother : Mutation() {
    override fun onEffects(effects: List<Effect>) =
        effects.map { if (it is Effect.Answer) it.copy(exchange = ExchangeId(it.exchange.value - 1)) else it }
}

/** No outcome is given. */
internal class NeverAnswers : Mutation() {
    override fun onEffects(effects: List<Effect>) = effects.filterNot { it is Effect.Answer }
}

/** What may have run is called not run. */
internal class CallsUnknownRefused : Mutation() {
    override fun onEffects(effects: List<Effect>) =
        effects.map {
            if (it is Effect.Answer && it.outcome is Outcome.Unknown) {
                it.copy(outcome = Outcome.Refused(RefusalReason.UPSTREAM_REFUSED))
            } else {
                it
            }
        }
}

/** A process that ends as soon as a planned stop is requested. */
internal class StopsAtOnce : Mutation() {
    private var requested = false

    override fun onEvent(event: Event): Event {
        requested = event is Event.StopRequested
        return event
    }

    override fun onEffects(effects: List<Effect>) = if (requested) effects + Effect.StopCompleted else effects
}

/** Schedulers that do not see an upstream leave. */
internal class IgnoresLeaving : Mutation() {
    override fun onEvent(event: Event): Event? {
        val reply = (event as? Event.LeaseAnswered)?.reply
        return when {
            reply is LeaseReply.Granted -> event.copy(reply = reply.copy(leaving = false))
            event is Event.VmListRead -> event.copy(vms = event.vms.map { it.copy(state = VmState.LIVE) })
            event is Event.PeerMessageReceived && event.message is PeerMessage.DrainNotice -> null
            event is Event.DrainRequested -> null
            event is Event.LogRead ->
                event.copy(records = event.records.map { it.copy(payload = undrained(it.payload)) })
            else -> event
        }
    }

    private fun undrained(payload: String) = payload.replace("\"draining\":true", "\"draining\":false")
}

/** A ledger with twice the declared capacity. */
internal class DoublesCapacity : Mutation() {
    override fun onEvent(event: Event): Event =
        if (event is Event.LogRead) {
            event.copy(records = event.records.map { it.copy(payload = doubled(it.payload)) })
        } else {
            event
        }

    private fun doubled(payload: String): String {
        val change = strictJson.decodeFromString(CatalogPayload.serializer(), payload)
        val spec = (change as? CatalogPayload.ResourceChange)?.spec as? UpstreamSpec ?: return payload
        val more = change.copy(spec = spec.copy(capacity = spec.capacity * 2))
        return strictJson.encodeToString(CatalogPayload.serializer(), more)
    }
}

/** A new owner that does not take the inventory of the lease reply as its ledger. */
internal class IgnoresInventory : Mutation() {
    override fun onEvent(event: Event): Event {
        val reply = (event as? Event.LeaseAnswered)?.reply as? LeaseReply.Granted ?: return event
        return event.copy(reply = reply.copy(running = emptyList()))
    }
}
