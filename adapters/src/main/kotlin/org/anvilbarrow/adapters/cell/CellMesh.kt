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
import kotlinx.coroutines.ExperimentalCoroutinesApi
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
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
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

/** Times of the connections between the processes of a cell. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class MeshLimits(
    /** A connection on which nothing arrives for this time is closed and replaced. */
    val silence: Duration = Duration.ofMillis(1_500),
    /** An empty frame is sent in this interval, so that a quiet connection does not look silent. */
    val keepAlive: Duration = Duration.ofMillis(500),
    /** Longest wait for a connection; a new one to another region takes 60 ms. */
    val connect: Duration = Duration.ofMillis(800),
    /** Pause before a broken connection is replaced. */
    val retry: Duration = Duration.ofMillis(200),
    /** Messages that wait for one peer. */
    val queuedMessages: Int = 4_096,
)

/** Told of messages and connections on a mesh thread; must not block. */
public interface MeshListener {
    public fun received(
        from: String,
        message: CellMessage,
    )

    /** The connection to [address] is up, or the last one broke. */
    public fun linkChanged(
        address: String,
        up: Boolean,
    )
}

/**
 * Connections between the processes of a cell, each used in both directions.
 *
 * A process connects to the addresses set by [setPeers] and accepts connections of all others. Messages may be lost.
 */
public class CellMesh(
    private val self: CellMember,
    private val incarnation: Long,
    private val limits: MeshLimits,
    private val listener: MeshListener,
    private val clocks: () -> PauseDetector,
) : AutoCloseable {
    private class Link(
        val queue: Channel<CellMessage>,
    )

    private val threads = Executors.newFixedThreadPool(THREADS) { Thread(it, "mesh").apply { isDaemon = true } }
    private val dispatcher = threads.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(dispatcher)

    /** Open connections by address, the newest last; both sides may have opened one. */
    private val links = ConcurrentHashMap<String, PersistentList<Link>>()
    private val dialers = HashMap<String, Job>()

    /** Listens on the own address. */
    public fun start() {
        val (host, port) = split(self.address)
        val server = runBlocking { aSocket(selector).tcp().bind(host, port) { reuseAddress = true } }
        scope.launch { accept(server) }
    }

    /** Addresses of the processes that are connected. */
    public val connected: Set<String> get() = links.keys.toSet()

    /** Keeps connections to [addresses] and no others that this process opened. */
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
                scope.launch { guarded("from ${socket.remoteAddress}") { socket.use { answer(it) } } }
            } catch (e: IOException) {
                currentCoroutineContext().ensureActive()
                log.error { "A connection could not be accepted: ${describe(e)}." }
                delay(limits.retry.toMillis())
            }
        }
    }

    private suspend fun answer(socket: Socket) {
        val frames = FrameChannel(socket, limits.silence)
        val hello = decode(frames.read()) as? CellMessage.Hello ?: throw PeerFault("the first frame is no hello")
        if (hello.protocolVersion != CellMessage.PROTOCOL_VERSION) {
            throw PeerFault("protocolVersion is ${hello.protocolVersion}, allowed is ${CellMessage.PROTOCOL_VERSION}")
        }
        listener.received(hello.member.address, hello)
        converse(hello.member.address, frames)
    }

    private suspend fun dial(address: String) {
        val (host, port) = split(address)
        while (true) {
            guarded("to $address") {
                val socket =
                    withTimeoutOrNull(limits.connect.toMillis()) {
                        aSocket(selector).tcp().connect(host, port) { noDelay = true }
                    } ?: throw PeerSilence("no connection within ${limits.connect}")
                socket.use {
                    val frames = FrameChannel(it, limits.silence)
                    frames.write(encode(CellMessage.Hello(CellMessage.PROTOCOL_VERSION, self, incarnation)))
                    converse(address, frames)
                }
            }
            delay(limits.retry.toMillis())
        }
    }

    private suspend fun converse(
        address: String,
        frames: FrameChannel,
    ): Unit =
        coroutineScope {
            val link = Link(Channel(limits.queuedMessages))
            opened(address, link)
            try {
                val writer = launch { write(link, frames) }
                val pauses = clocks()
                while (true) {
                    val frame = frames.read()
                    // Orders that waited while this process stood still have been given to another one.
                    val gap = pauses.sinceLast()
                    if (gap > limits.silence) throw PeerSilence("nothing was read for $gap")
                    if (frame.isNotEmpty()) listener.received(address, decode(frame))
                    if (writer.isCompleted) throw PeerSilence("the connection cannot be written")
                }
            } finally {
                ended(address, link)
            }
        }

    private fun opened(
        address: String,
        link: Link,
    ) {
        links.merge(address, persistentListOf(link)) { open, new -> open.addAll(new) }
        listener.linkChanged(address, up = true)
    }

    /** An older connection to [address] may still be open, and then it is used again. */
    private fun ended(
        address: String,
        link: Link,
    ) {
        val left = links.computeIfPresent(address) { _, open -> open.remove(link).takeIf { it.isNotEmpty() } }
        if (left == null) listener.linkChanged(address, up = false)
    }

    @OptIn(ExperimentalCoroutinesApi::class) // onTimeout; the alternative is a timer for each connection.
    private suspend fun write(
        link: Link,
        frames: FrameChannel,
    ) {
        while (true) {
            // A receive that a timeout cancels may lose the message that it has taken.
            val message =
                select<CellMessage?> {
                    link.queue.onReceive { it }
                    onTimeout(limits.keepAlive.toMillis()) { null }
                }
            if (message == null) frames.acknowledge() else frames.writeAll(waiting(link, message))
        }
    }

    /** Returns the frames of [first] and of what is queued behind it, which are sent together. */
    private fun waiting(
        link: Link,
        first: CellMessage,
    ): List<ByteArray> =
        generateSequence(first) { link.queue.tryReceive().getOrNull() }
            .take(MAX_FRAMES_AT_ONCE)
            .map(::encode)
            .filter(::isSendable)
            .toList()

    /** A frame over the limit would end the connection at the other side. */
    private fun isSendable(frame: ByteArray): Boolean {
        val fits = frame.size <= PeerCodec.MAX_FRAME_BYTES
        if (!fits) log.error { "A message of ${frame.size} bytes is over the limit of ${PeerCodec.MAX_FRAME_BYTES}." }
        return fits
    }

    @Suppress("TooGenericExceptionCaught") // Ktor's sockets throw several unrelated types for a broken connection.
    private suspend fun guarded(
        what: String,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.debug { "The connection $what ended: ${describe(e)}." }
        }
    }

    private fun encode(message: CellMessage): ByteArray = RecordCodec.encode(CellMessage.serializer(), message)

    private fun decode(frame: ByteArray): CellMessage =
        RecordCodec.decode(CellMessage.serializer(), frame)
            ?: throw PeerFault("a frame of ${frame.size} bytes holds no known message")

    private companion object {
        /** One thread waits for sockets; the other encodes and decodes. */
        const val THREADS = 2
        const val MAX_FRAMES_AT_ONCE = 64

        fun split(address: String): Pair<String, Int> =
            address.substringBeforeLast(':') to address.substringAfterLast(':').toInt()
    }
}
