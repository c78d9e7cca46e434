package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.http.CallerAnswer
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage

/** Carries out the kernel's effects; called on the control thread, so nothing here blocks. */
internal class EffectRunner(
    private val exchanges: Exchanges,
    private val tasks: TaskRunner,
    private val leases: LeaseCaller,
    private val sendToPeer: (SchedulerId, PeerMessage) -> Unit,
    private val appendToLog: (String) -> Unit,
    private val stopCompleted: () -> Unit,
) {
    fun run(effect: Effect): Unit =
        when (effect) {
            is Effect.SendToPeer -> sendToPeer(effect.to, effect.message)
            is Effect.RequestLease -> leases.request(effect)
            is Effect.ReleaseLease -> leases.release(effect)
            is Effect.Execute -> tasks.execute(effect)
            is Effect.Abandon -> tasks.abandon(effect)
            is Effect.Answer -> answer(effect.exchange, effect.outcome)
            is Effect.AppendToLog -> appendToLog(effect.payload)
            is Effect.StopCompleted -> stopCompleted()
        }

    private fun answer(
        id: ExchangeId,
        outcome: Outcome,
    ) {
        val exchange = exchanges[id] ?: return
        exchange.answer(CallerAnswer.Final(outcome))
        exchanges.taskEnded(exchange)
    }
}
