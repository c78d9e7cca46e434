package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.AdviceService
import org.anvilbarrow.adapters.cell.DelayedExecutor
import org.anvilbarrow.kernel.jobs.CellEffect
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.Ticket

private val log = KotlinLogging.logger("anvilbarrow.advice")

/** Calls the advice service for the owners of this process, directly or through a peer, on the control thread. */
internal class AdviceDispatch(
    private val self: String,
    private val service: AdviceService,
    private val numbers: CorrelationNumbers,
    private val executor: DelayedExecutor,
    /** Sends a message to a peer; returns false if the peer is not connected. */
    private val send: (to: String, call: CellMessage.Advise) -> Boolean,
) : AdviceCaller {
    private val open = HashMap<Long, (List<Ticket>?) -> Unit>()

    override fun advise(
        shard: Int,
        call: CellEffect.Advise,
        done: (List<Ticket>?) -> Unit,
    ) {
        if (call.helper == self) {
            service.advise(call.step, call.upstreams, call.timeout).thenAccept(done)
            return
        }
        val number = numbers.next()
        open[number] = done
        val message = CellMessage.Advise(number, call.step, call.upstreams, call.timeout.toMillis())
        if (!send(call.helper, message)) {
            open -= number
            log.debug { "event=helper-unreachable shard=$shard helper=${call.helper}" }
            done(null)
        } else {
            executor.run(call.timeout) { open -= number }
        }
    }

    /** Completes the call that [message] answers, unless it has timed out. */
    fun advised(message: CellMessage.Advised) {
        open.remove(message.call)?.invoke(message.tickets)
    }
}
