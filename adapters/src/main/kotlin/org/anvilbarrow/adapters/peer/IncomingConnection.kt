package org.anvilbarrow.adapters.peer

import io.ktor.network.sockets.Socket
import org.anvilbarrow.protocol.codec.DecodedFrame
import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration

/** Reads the messages of one peer until the connection breaks, goes silent or carries something malformed. */
internal class IncomingConnection(
    socket: Socket,
    private val self: SchedulerId,
    private val known: Set<SchedulerId>,
    private val traffic: PeerTraffic,
    private val limits: PeerLimits,
    private val onMessage: (SchedulerId, PeerMessage) -> Unit,
) {
    private val frames = FrameChannel(socket, limits.silence)
    private var lastAcknowledged = Long.MIN_VALUE

    suspend fun run(elapsed: () -> Duration) {
        val peer = greet()
        frames.acknowledge()
        while (true) {
            val frame = frames.read()
            traffic.received(peer, FrameChannel.PREFIX_BYTES + frame.size)
            when (val decoded = PeerCodec.decode(frame)) {
                is DecodedFrame.Message -> onMessage(peer, decoded.message)
                is DecodedFrame.Malformed -> throw PeerFault(
                    "frame of ${frame.size} bytes from $peer: ${decoded.detail}",
                )
            }
            acknowledge(elapsed().toMillis())
        }
    }

    private suspend fun greet(): SchedulerId {
        val frame = frames.read()
        val hello = HelloCodec.decode(frame) ?: throw PeerFault("the first frame (${frame.size} bytes) is no hello")
        problemOf(hello)?.let { throw PeerFault(it) }
        return hello.scheduler
    }

    private fun problemOf(hello: PeerHello): String? =
        when {
            hello.protocolVersion != PeerHello.PROTOCOL_VERSION ->
                "protocolVersion is ${hello.protocolVersion}, allowed is ${PeerHello.PROTOCOL_VERSION}"
            hello.scheduler == self -> "scheduler is '$self', which is the id of this process"
            hello.scheduler !in known -> "scheduler is '${hello.scheduler}', allowed are $known"
            else -> null
        }

    private suspend fun acknowledge(nowMillis: Long) {
        if (nowMillis - limits.acknowledge.toMillis() < lastAcknowledged) return
        lastAcknowledged = nowMillis
        frames.acknowledge()
    }
}
