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
    private class OpenCall(
        val helper: String,
        val done: (List<Ticket>?) -> Unit,
    )

    private val open = HashMap<Long, OpenCall>()

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
        open[number] = OpenCall(call.helper, done)
        val message = CellMessage.Advise(number, call.step, call.upstreams, call.timeout.toMillis())
        if (!send(call.helper, message)) {
            open -= number
            log.debug { "event=helper-unreachable shard=$shard helper=${call.helper}" }
            done(null)
        } else {
            executor.run(call.timeout) { open -= number }
        }
    }

    /** Completes the call that [message] answers, if it was made by [from] and has not timed out. */
    fun advised(
        from: String,
        message: CellMessage.Advised,
    ) {
        val call = open[message.call]?.takeIf { it.helper == from } ?: return
        open -= message.call
        call.done(message.tickets)
    }
}
