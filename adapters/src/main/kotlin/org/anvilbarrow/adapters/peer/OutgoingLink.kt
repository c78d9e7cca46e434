package org.anvilbarrow.adapters.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration
import kotlin.random.Random

private val log = KotlinLogging.logger("anvilbarrow.peer")

/** The one outgoing connection to [peer], which is replaced whenever it breaks or goes silent. */
internal class OutgoingLink(
    private val peer: PeerAddress,
    private val hello: PeerHello,
    private val selector: SelectorManager,
    private val traffic: PeerTraffic,
    private val limits: PeerLimits,
) {
    private val queue =
        Channel<PeerMessage>(limits.queuedMessages, BufferOverflow.DROP_OLDEST) { traffic.dropped(peer.id) }
    private var failures = 0

    /** Queues [message]; when the queue is full the oldest message is dropped, as newer ones replace it. */
    fun send(message: PeerMessage) {
        queue.trySend(message)
    }

    /** Connects again and again until it is cancelled. */
    @Suppress("TooGenericExceptionCaught") // Ktor's sockets throw several unrelated types for a failed connection.
    suspend fun run() {
        while (true) {
            try {
                connect().use { session(it) }
            } catch (e: Exception) {
                currentCoroutineContext().ensureActive()
                report(e)
            }
            delay(backoff().toMillis())
        }
    }

    private suspend fun connect(): Socket =
        withTimeoutOrNull(limits.silence.toMillis()) {
            aSocket(selector).tcp().connect(peer.host, peer.port) { noDelay = true }
        } ?: throw PeerSilence("no connection within ${limits.silence}")

    private suspend fun session(socket: Socket): Unit =
        coroutineScope {
            val frames = FrameChannel(socket, limits.silence)
            frames.write(HelloCodec.encode(hello))
            launch { awaitAcknowledgements(frames) }
            for (message in queue) write(frames, message)
        }

    private suspend fun write(
        frames: FrameChannel,
        message: PeerMessage,
    ) {
        val frame = PeerCodec.encode(message)
        if (frame.size > PeerCodec.MAX_FRAME_BYTES) {
            traffic.dropped(peer.id)
            log.error {
                "Dropped a ${message::class.simpleName} to ${peer.id}: it has ${frame.size} bytes, " +
                    "the limit is ${PeerCodec.MAX_FRAME_BYTES}."
            }
        } else {
            frames.write(frame)
            traffic.sent(peer.id, FrameChannel.PREFIX_BYTES + frame.size)
        }
    }

    /** The peer acknowledges what it reads; without this a connection that lost its route would look alive. */
    private suspend fun awaitAcknowledgements(frames: FrameChannel) {
        while (true) {
            val frame = frames.read()
            if (frame.isNotEmpty()) throw PeerFault("an acknowledgement has ${frame.size} bytes, the limit is 0")
            if (failures > 0) log.info { "Connected to peer ${peer.id} at ${peer.host}:${peer.port}." }
            failures = 0
        }
    }

    private fun report(cause: Exception) {
        if (cause is CancellationException) return
        failures++
        val text = "Lost peer ${peer.id} at ${peer.host}:${peer.port}: ${describe(cause)}."
        if (failures == 1) log.warn { text } else log.debug { text }
    }

    /** Jitter keeps schedulers that lost the same peer from coming back in step. */
    private fun backoff(): Duration {
        val doubled = limits.firstBackoff.multipliedBy(1L shl (failures - 1).coerceIn(0, MAX_DOUBLINGS))
        val capped = minOf(doubled, limits.maxBackoff).toMillis()
        return Duration.ofMillis(capped / 2 + Random.nextLong(capped / 2 + 1))
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
