package org.anvilbarrow.adapters.peer

import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.PeerMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

class PeerNetworkTest {
    private val a = SchedulerId("a")
    private val b = SchedulerId("b")
    private val limits =
        PeerLimits(silence = Duration.ofMillis(400), acknowledge = Duration.ofMillis(50), queuedMessages = 4)
    private val received = LinkedBlockingQueue<Pair<SchedulerId, PeerMessage>>()
    private val traffic = CountingTraffic()
    private val open = mutableListOf<AutoCloseable>()
    private val ports = freePorts()
    private val notice = PeerMessage.DrainNotice(UpstreamId("upstream-1"))

    @AfterEach
    fun close() = open.forEach { it.close() }

    /** Guards against messages that are attributed to another sender, and against a link that stays down. */
    @Test
    fun `messages arrive with their sender, also after the peer restarted`() {
        val sender = network(a, ports[0], b, ports[1])
        network(b, ports[1], a, ports[0]).use { expectThat(sendUntilReceived(sender)).isEqualTo(a to notice) }
        received.clear()
        network(b, ports[1], a, ports[0])
        expectThat(sendUntilReceived(sender)).isEqualTo(a to notice)
    }

    /** Guards against a restarted process that finds its own port still in use. */
    @Test
    fun `the port is free once the network is closed`() {
        repeat(RESTARTS) { network(b, ports[1], a, ports[0]).close() }
    }

    /** Guards against one malformed frame that stops the reading of the others' messages. */
    @TestFactory
    fun `a malformed frame closes its connection and nothing else`() =
        listOf(
            "frame over the limit" to listOf(hello(), PREFIX_ONLY),
            "frame that is not CBOR" to listOf(hello(), byteArrayOf(0x5f, 0x00)),
            "empty frame" to listOf(hello(), ByteArray(0)),
            "other protocol version" to listOf(hello(version = 2)),
            "scheduler that is not a peer" to listOf(hello(id = SchedulerId("c"))),
            "own id" to listOf(hello(id = b)),
            "message before the hello" to listOf(PeerCodec.encode(notice)),
        ).map { (name, frames) ->
            DynamicTest.dynamicTest(name) {
                val own = network(b, 0, a, ports[0])
                connect(own.port).use { good ->
                    good.write(hello())
                    connect(own.port).use { bad ->
                        frames.forEach { bad.write(it) }
                        expectThat(bad.isClosedByPeer()).isEqualTo(true)
                    }
                    good.write(PeerCodec.encode(notice))
                    expectThat(received.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(a to notice)
                }
                own.close()
            }
        }

    /** Guards against a connection that lost its route and would be used for good. */
    @Test
    fun `a connection whose other end is silent is replaced`() {
        ServerSocket(ports[1], BACKLOG, LOOPBACK).use { silent ->
            silent.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            network(a, ports[0], b, ports[1])
            silent.accept().use { expectThat(it).isNotNull() }
            silent.accept().use { expectThat(it).isNotNull() }
        }
    }

    /** Guards against memory that grows while a peer is away. */
    @Test
    fun `a peer that is away costs a bounded queue and a count`() {
        val sender = network(a, ports[0], b, ports[1]).peers
        repeat(SENDS) { sender.send(b, notice) }
        expectThat(traffic.dropped.get()).isGreaterThan(SENDS - limits.queuedMessages - 2).isLessThan(SENDS)
    }

    /**
     * Returns two ports below the range from which the system takes the ports of outgoing connections.
     *
     * A connection that is tried again and again to a free port of that range may be given this port itself, and the
     * server then cannot listen on it.
     */
    private fun freePorts(): List<Int> =
        generateSequence(FIRST_PORT + Random.nextInt(PORTS)) { it + 1 }
            .filter { port -> runCatching { ServerSocket(port, 1, LOOPBACK).close() }.isSuccess }
            .take(2)
            .toList()

    private fun sendUntilReceived(sender: Network): Pair<SchedulerId, PeerMessage>? =
        generateSequence {
            sender.peers.send(b, notice)
            received.poll(SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS) ?: MISSING
        }.take(MAX_SENDS).firstOrNull { it != MISSING }

    private fun network(
        self: SchedulerId,
        port: Int,
        peer: SchedulerId,
        peerPort: Int,
    ): Network {
        val peers = listOf(PeerAddress(peer, "127.0.0.1", peerPort, "lappi-a"))
        val hello = PeerHello(PeerHello.PROTOCOL_VERSION, self, 1)
        val network =
            PeerNetwork(hello, "127.0.0.1", port, peers, traffic, InstantSource.system(), limits) { from, message ->
                received += from to message
            }
        open += network
        return Network(network, network.start())
    }

    private fun hello(
        id: SchedulerId = a,
        version: Int = PeerHello.PROTOCOL_VERSION,
    ): ByteArray = HelloCodec.encode(PeerHello(version, id, 1))

    private fun connect(port: Int) = RawConnection(Socket(LOOPBACK, port))

    private class Network(
        val peers: PeerNetwork,
        val port: Int,
    ) : AutoCloseable by peers

    private class RawConnection(
        private val socket: Socket,
    ) : AutoCloseable by socket {
        private val output = DataOutputStream(socket.getOutputStream())

        fun write(frame: ByteArray) {
            output.writeInt(if (frame === PREFIX_ONLY) PeerCodec.MAX_FRAME_BYTES + 1 else frame.size)
            output.write(frame)
        }

        /** Reads acknowledgements until the other end closes. */
        fun isClosedByPeer(): Boolean {
            socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            return runCatching { DataInputStream(socket.getInputStream()).readAllBytes() }
                .fold({ true }, { it is SocketException })
        }
    }

    private class CountingTraffic : PeerTraffic {
        val dropped = AtomicInteger()

        override fun sent(
            peer: SchedulerId,
            bytes: Int,
        ): Unit = Unit

        override fun received(
            peer: SchedulerId,
            bytes: Int,
        ): Unit = Unit

        override fun dropped(peer: SchedulerId) {
            dropped.incrementAndGet()
        }
    }

    private companion object {
        const val RESTARTS = 300
        const val WAIT_SECONDS = 5L
        const val SEND_INTERVAL_MILLIS = 100L
        const val MAX_SENDS = 80
        const val SENDS = 100
        const val BACKLOG = 4
        const val FIRST_PORT = 20_000
        const val PORTS = 10_000
        val LOOPBACK: InetAddress = InetAddress.getLoopbackAddress()

        /** Stands for a length prefix over the limit without content. */
        val PREFIX_ONLY = ByteArray(0)
        val MISSING = SchedulerId("none") to PeerMessage.ReserveDenied(TaskId("none"))
    }
}
