package org.anvilbarrow.adapters.cell

import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

@Timeout(20)
internal class CellMeshTest {
    private class Links : MeshListener {
        val changes = LinkedBlockingQueue<Boolean>()

        override fun received(
            from: String,
            message: CellMessage,
        ) = Unit

        override fun linkChanged(
            address: String,
            up: Boolean,
        ) {
            changes.put(up)
        }

        fun next(): Boolean? = changes.poll(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    /** A peer that opens a connection itself, so that a test controls which connection is closed. */
    private class Peer(
        port: Int,
    ) : AutoCloseable {
        private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_MILLIS }
        private val input = DataInputStream(socket.getInputStream())

        init {
            val hello = CellMessage.Hello(CellMessage.PROTOCOL_VERSION, member(PEER), 1)
            val frame = RecordCodec.encode(CellMessage.serializer(), hello)
            DataOutputStream(socket.getOutputStream()).run {
                writeInt(frame.size)
                write(frame)
                flush()
            }
        }

        /** Returns the next message, skipping keep-alive frames, which are empty. */
        fun read(): CellMessage? {
            while (true) {
                val frame = ByteArray(input.readInt()).also(input::readFully)
                if (frame.isNotEmpty()) return RecordCodec.decode(CellMessage.serializer(), frame)
            }
        }

        override fun close(): Unit = socket.close()
    }

    private val port = ServerSocket(0).use { it.localPort }
    private val links = Links()
    private val mesh =
        CellMesh(member("127.0.0.1:$port"), 1, MeshLimits(idleTimeout = Duration.ofSeconds(WAIT_SECONDS)), links) {
            PauseDetector(InstantSource.system(), InstantSource.system())
        }.apply { start() }

    @AfterEach
    fun close(): Unit = mesh.close()

    /** Guards against a peer that is reported lost and gets no replies while another connection to it is open. */
    @Test
    fun `an older connection is used again when the newest one ends`() {
        Peer(port).use { older ->
            expectThat(links.next()).isEqualTo(true)
            Peer(port).use { expectThat(links.next()).isEqualTo(true) }
            expectThat(mesh.connected).isEqualTo(setOf(PEER))
            // Gives the mesh time to detect the close of the newest connection.
            expectThat(links.changes.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(null)
            val reply = CellMessage.Advised(7, null)
            expectThat(mesh.send(PEER, reply)).isTrue()
            expectThat(older.read()).isEqualTo(reply)
        }
        expectThat(links.next()).isEqualTo(false)
        expectThat(mesh.send(PEER, CellMessage.Advised(8, null))).isFalse()
    }

    private companion object {
        const val PEER = "10.0.0.9:7720"
        const val WAIT_SECONDS = 5L
        const val QUIET_MILLIS = 500L
        const val READ_MILLIS = 5_000

        fun member(address: String) = CellMember(address, "region", "domain", 1.0)
    }
}
