package org.anvilbarrow.adapters.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilbarrow.adapters.peer.FrameChannel
import org.anvilbarrow.adapters.peer.PeerFault
import org.anvilbarrow.adapters.peer.PeerSilence
import org.anvilbarrow.adapters.peer.describe
import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.RecordCodec
import java.io.IOException
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

private val log = KotlinLogging.logger("anvilbarrow.mesh")

/** Timeouts and limits of the connections between the processes of a cell. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class MeshLimits(
    /** Time without received data after which a connection is closed and replaced. */
    val idleTimeout: Duration = Duration.ofMillis(1_500),
    /** Interval at which an idle connection sends an empty frame, so that it does not time out. */
    val keepAliveInterval: Duration = Duration.ofMillis(500),
    /** Maximum time to establish a connection; one to another region takes 60 ms. */
    val connectTimeout: Duration = Duration.ofMillis(800),
    /** Delay before a broken connection is replaced. */
    val retryDelay: Duration = Duration.ofMillis(200),
    /** Maximum number of messages queued on one connection. */
    val maxQueuedMessages: Int = 4_096,
)

/** Receives messages and connection events on a mesh thread; must not block. */
public interface MeshListener {
    public fun received(
        from: String,
        message: CellMessage,
    )

    /** A connection to [address] was opened ([up]), or the last one to it was closed. */
    public fun linkChanged(
        address: String,
        up: Boolean,
    )
}

/**
 * Bidirectional connections between the processes of a cell.
 *
 * A process connects to the addresses given to [setPeers] and accepts connections from any other. Messages may be lost.
 */
public class CellMesh(
    private val self: CellMember,
    private val incarnation: Long,
    private val limits: MeshLimits,
    private val listener: MeshListener,
    private val newPauseDetector: () -> PauseDetector,
) : AutoCloseable {
    private class Link(
        /** Messages to write; null stands for an empty frame. */
        val queue: Channel<CellMessage?>,
    ) {
        /** Checks of the connection since the last frame was read, and since the last one was written. */
        @Volatile
        var checksSinceRead = 0

        @Volatile
        var checksSinceWrite = 0
    }

    private val threads = Executors.newFixedThreadPool(THREADS) { Thread(it, "mesh").apply { isDaemon = true } }
    private val dispatcher = threads.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(dispatcher)

    /** Open connections by address, the newest last; both processes may have opened one. */
    private val links = ConcurrentHashMap<String, PersistentList<Link>>()
    private val dialers = HashMap<String, Job>()

    /** Starts to listen on the address of [self]. */
    public fun start() {
        val (host, port) = parseAddress(self.address)
        val server = runBlocking { aSocket(selector).tcp().bind(host, port) { reuseAddress = true } }
        scope.launch { accept(server) }
    }

    /** Addresses of the connected processes. */
    public val connected: Set<String> get() = links.keys.toSet()

    /** Maintains outgoing connections to exactly [addresses]; incoming connections are not affected. */
    @Synchronized
    public fun setPeers(addresses: Set<String>) {
        val wanted = addresses - self.address
        (dialers.keys - wanted).forEach { dialers.remove(it)?.cancel() }
        (wanted - dialers.keys).forEach { address -> dialers[address] = scope.launch { dial(address) } }
    }

    /** Queues [message] without blocking; returns false if [to] is not connected or its queue is full. */
    public fun send(
        to: String,
        message: CellMessage,
    ): Boolean =
        links[to]
            ?.last()
            ?.queue
            ?.trySend(message)
            ?.isSuccess ?: false

    override fun close() {
        scope.cancel()
        selector.close()
        threads.shutdown()
    }

    private suspend fun accept(server: ServerSocket) {
        while (true) {
            try {
                val socket = server.accept()
                scope.launch { logFailures("from ${socket.remoteAddress}") { socket.use { serveIncoming(it) } } }
            } catch (e: IOException) {
                currentCoroutineContext().ensureActive()
                log.error { "Failed to accept a connection: ${describe(e)}." }
                delay(limits.retryDelay.toMillis())
            }
        }
    }

    private suspend fun serveIncoming(socket: Socket) {
        val frames = FrameChannel(socket, limits.idleTimeout)
        val hello = decode(frames.read()) as? CellMessage.Hello ?: throw PeerFault("the first frame is not a hello")
        if (hello.protocolVersion != CellMessage.PROTOCOL_VERSION) {
            throw PeerFault("protocolVersion is ${hello.protocolVersion}, allowed is ${CellMessage.PROTOCOL_VERSION}")
        }
        listener.received(hello.member.address, hello)
        runConnection(hello.member.address, frames)
    }

    private suspend fun dial(address: String) {
        val (host, port) = parseAddress(address)
        while (true) {
            logFailures("to $address") {
                val socket =
                    withTimeoutOrNull(limits.connectTimeout.toMillis()) {
                        aSocket(selector).tcp().connect(host, port) { noDelay = true }
                    } ?: throw PeerSilence("no connection within ${limits.connectTimeout}")
                socket.use {
                    val frames = FrameChannel(it, limits.idleTimeout)
                    frames.write(encode(CellMessage.Hello(CellMessage.PROTOCOL_VERSION, self, incarnation)))
                    runConnection(address, frames)
                }
            }
            delay(limits.retryDelay.toMillis())
        }
    }

    private suspend fun runConnection(
        address: String,
        frames: FrameChannel,
    ): Unit =
        coroutineScope {
            val link = Link(Channel(limits.maxQueuedMessages))
            register(address, link)
            try {
                val writer = launch { write(link, frames) }
                launch { supervise(link) }
                val pauses = newPauseDetector()
                while (true) {
                    val frame = frames.readUntimed()
                    link.checksSinceRead = 0
                    // After a pause of this process, the orders in received frames may have been reassigned.
                    val gap = pauses.sinceLast()
                    if (gap > limits.idleTimeout) throw PeerSilence("no frame was read for $gap")
                    if (frame.isNotEmpty()) listener.received(address, decode(frame))
                    if (writer.isCompleted) throw PeerSilence("the writer of the connection has stopped")
                }
            } finally {
                unregister(address, link)
            }
        }

    private fun register(
        address: String,
        link: Link,
    ) {
        links.merge(address, persistentListOf(link)) { open, new -> open.addAll(new) }
        listener.linkChanged(address, up = true)
    }

    /** Removes [link]; an older connection to [address] that is still open is used again. */
    private fun unregister(
        address: String,
        link: Link,
    ) {
        val remaining = links.computeIfPresent(address) { _, open -> open.remove(link).takeIf { it.isNotEmpty() } }
        if (remaining == null) listener.linkChanged(address, up = false)
    }

    private suspend fun write(
        link: Link,
        frames: FrameChannel,
    ) {
        while (true) {
            frames.writeAllUntimed(nextBatch(link, link.queue.receive()))
            link.checksSinceWrite = 0
        }
    }

    /**
     * Ends the connection if nothing is read or written in time, and keeps an idle one alive.
     *
     * One timer for each connection takes less processor time than one for each frame.
     */
    private suspend fun supervise(link: Link) {
        val interval = limits.keepAliveInterval.dividedBy(CHECKS_PER_KEEP_ALIVE.toLong())
        val maxChecks = (limits.idleTimeout.toMillis() / interval.toMillis()).toInt()
        while (true) {
            delay(interval.toMillis())
            if (++link.checksSinceRead >= maxChecks) throw PeerSilence("no frame arrived for ${limits.idleTimeout}")
            if (++link.checksSinceWrite >= maxChecks) throw PeerSilence("no frame left for ${limits.idleTimeout}")
            if (link.checksSinceWrite >= CHECKS_PER_KEEP_ALIVE) link.queue.trySend(null)
        }
    }

    /** Returns the frames of [first] and of the messages queued behind it, to be written together. */
    private fun nextBatch(
        link: Link,
        first: CellMessage?,
    ): List<ByteArray> {
        val frames = arrayListOf(frameOf(first))
        while (frames.size < MAX_BATCH_FRAMES) {
            val received = link.queue.tryReceive()
            if (received.isFailure) break
            frames += frameOf(received.getOrNull())
        }
        return frames
    }

    private fun frameOf(message: CellMessage?): ByteArray =
        message?.let(::encode)?.takeIf(::isSendable) ?: FrameChannel.EMPTY

    /** Returns false for an oversized frame, as the receiver would close the connection on it. */
    private fun isSendable(frame: ByteArray): Boolean {
        val fits = frame.size <= PeerCodec.MAX_FRAME_BYTES
        if (!fits) log.error { "Dropped a message of ${frame.size} bytes; the limit is ${PeerCodec.MAX_FRAME_BYTES}." }
        return fits
    }

    @Suppress("TooGenericExceptionCaught") // Ktor's sockets throw several unrelated types for a broken connection.
    private suspend fun logFailures(
        peer: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.debug { "Connection $peer ended: ${describe(e)}." }
        }
    }

    private fun encode(message: CellMessage): ByteArray = RecordCodec.encode(CellMessage.serializer(), message)

    private fun decode(frame: ByteArray): CellMessage =
        RecordCodec.decode(CellMessage.serializer(), frame)
            ?: throw PeerFault("a frame of ${frame.size} bytes cannot be decoded as a message")

    private companion object {
        /** One thread for the selector and one to encode and decode messages. */
        const val THREADS = 2
        const val MAX_BATCH_FRAMES = 64
        const val CHECKS_PER_KEEP_ALIVE = 2

        fun parseAddress(address: String): Pair<String, Int> =
            address.substringBeforeLast(':') to address.substringAfterLast(':').toInt()
    }
}
