package org.anvilbarrow.adapters.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.awaitClosed
import io.ktor.network.sockets.port
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.io.IOException
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger("anvilbarrow.peer")

/**
 * Connects this scheduler with its peers.
 *
 * Messages may be lost; [onMessage] is called on a peer thread and must not block:
 * ```
 * PeerNetwork(hello, "10.0.0.4", 7100, peers, traffic, clock) { from, message -> loop.offer(from, message) }.start()
 * ```
 */
public class PeerNetwork(
    private val hello: PeerHello,
    private val host: String,
    private val port: Int,
    peers: List<PeerAddress>,
    private val traffic: PeerTraffic,
    private val clock: InstantSource,
    private val limits: PeerLimits = PeerLimits(),
    private val onMessage: (SchedulerId, PeerMessage) -> Unit,
) : AutoCloseable {
    private val threads = Executors.newFixedThreadPool(THREADS) { Thread(it, "peer").apply { isDaemon = true } }
    private val dispatcher = threads.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selectorJob = SupervisorJob()
    private val selector = SelectorManager(dispatcher + selectorJob)
    private val links = peers.associate { it.id to OutgoingLink(it, hello, selector, traffic, limits) }
    private val incoming = AtomicInteger()
    private var listening: ServerSocket? = null

    /** Listens, connects to every peer and returns the port. */
    public fun start(): Int {
        val server = runBlocking { aSocket(selector).tcp().bind(host, port) { reuseAddress = true } }
        listening = server
        scope.launch { accept(server) }
        links.values.forEach { link -> scope.launch { link.run() } }
        return (server.localAddress as InetSocketAddress).port
    }

    /** Queues [message] for [to] without blocking; a message to an unknown peer is dropped. */
    public fun send(
        to: SchedulerId,
        message: PeerMessage,
    ) {
        val link = links[to]
        if (link == null) traffic.dropped(to) else link.send(message)
    }

    /** Closes all connections and waits until the port is free again. */
    override fun close() {
        runBlocking {
            withTimeoutOrNull(limits.silence.toMillis()) {
                scope.coroutineContext.job.cancelAndJoin()
                listening?.close()
                listening?.awaitClosed()
            }
        }
        selector.close()
        // The port stays in use until the selector, which ends by itself, has let go of its channel.
        val ended =
            runBlocking { withTimeoutOrNull(limits.silence.toMillis()) { selectorJob.children.toList().joinAll() } }
        if (ended == null) log.warn { "The selector still runs after ${limits.silence}; port $port may be in use." }
        threads.shutdown()
    }

    /** A connection that cannot be accepted, for example for lack of file descriptors, must not end the listening. */
    private suspend fun accept(server: ServerSocket) {
        while (true) {
            try {
                admit(server.accept())
            } catch (e: IOException) {
                currentCoroutineContext().ensureActive()
                log.error { "A connection could not be accepted: ${describe(e)}." }
                delay(limits.firstBackoff.toMillis())
            }
        }
    }

    private fun admit(socket: Socket) {
        if (incoming.incrementAndGet() > limits.maxIncoming) {
            log.error { "Closed a connection from ${socket.remoteAddress}: the limit is ${limits.maxIncoming}." }
            incoming.decrementAndGet()
            socket.close()
        } else {
            scope.launch { serve(socket) }
        }
    }

    @Suppress("TooGenericExceptionCaught") // Ktor's sockets throw several unrelated types for a broken connection.
    private suspend fun serve(socket: Socket) {
        try {
            val start = clock.instant()
            IncomingConnection(socket, hello.scheduler, links.keys, traffic, limits, onMessage)
                .run { Duration.between(start, clock.instant()) }
        } catch (e: PeerFault) {
            log.error { "Closed the connection from ${socket.remoteAddress}: ${e.message}." }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.info { "The connection from ${socket.remoteAddress} ended: ${describe(e)}." }
        } finally {
            incoming.decrementAndGet()
            socket.close()
        }
    }

    private companion object {
        /** One thread waits for sockets; two encode and decode. */
        const val THREADS = 3
    }
}
