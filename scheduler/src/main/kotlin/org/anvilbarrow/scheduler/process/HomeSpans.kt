package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.telemetry.Tracing
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/** Spans of the hop to the home: from a peer's `Place` to the answer to it. */
internal class HomeSpans(
    private val tracing: Tracing,
) {
    private val open = ConcurrentHashMap<Key, Tracing.Hop>()

    /** A repeated `Place` belongs to the span of the first. */
    fun received(
        from: SchedulerId,
        message: PeerMessage,
    ) {
        if (message !is PeerMessage.Place || open.size >= MAX_OPEN) return
        open.computeIfAbsent(Key(from, message.exchange, message.round)) {
            tracing.start("home", message.request.traceparent).note("ingress", from.value)
        }
    }

    fun sent(
        to: SchedulerId,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.Placed -> open.remove(Key(to, message.exchange, message.round))?.end("placed")
            is PeerMessage.NotPlaced -> open.remove(Key(to, message.exchange, message.round))?.end("not_placed")
            else -> Unit
        }
    }

    private data class Key(
        val ingress: SchedulerId,
        val exchange: ExchangeId,
        val round: Int,
    )

    private companion object {
        /** Spans of requests that are cancelled while they wait stay open, so their number is bounded. */
        const val MAX_OPEN = 20_000
    }
}
