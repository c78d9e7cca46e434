package org.anvilbarrow.adapters.platform

import org.eclipse.jetty.client.InputStreamRequestContent
import org.eclipse.jetty.io.ArrayByteBufferPool
import org.eclipse.jetty.io.ByteBufferPool
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.StreamBody
import java.io.IOException
import java.io.InputStream
import java.time.Duration
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicReference
import org.eclipse.jetty.client.Request as JettyRequest

/** How far the sending of a request got. */
internal sealed interface Sent {
    /** The head of an answer arrived. */
    data class Answered(
        val response: Response,
    ) : Sent

    /** No answer arrived, but bytes of the request may have left this process. */
    data class MaybeSent(
        val detail: String,
    ) : Sent

    /** No byte of the request has left this process, and none will. */
    data class NotSent(
        val detail: String,
    ) : Sent
}

/**
 * Sends one request at most once.
 *
 * Jetty announces that it begins to write a request. The first announcement passes a gate, which is closed when sending
 * is given up. A second one, or one after that, aborts the request before anything is written.
 */
internal class HttpExchange(
    private val transport: JettyTransport,
    private val timeout: Duration,
) : AutoCloseable {
    private enum class Gate { OPEN, PASSED, CLOSED }

    private val gate = AtomicReference(Gate.OPEN)

    @Volatile
    private var jettyRequest: JettyRequest? = null

    @Volatile
    private var completed = false

    /**
     * Sends what [request] returns, with [body] as its body if it is not null.
     *
     * [request] is called here because http4k throws on an address that is none. http4k turns some failures into
     * answers of its own; only an answer that arrived has a stream as its body.
     */
    @Suppress("TooGenericExceptionCaught") // Jetty and http4k document no closed set of exceptions.
    fun send(
        body: InputStream? = null,
        request: () -> Request,
    ): Sent =
        try {
            val response = transport.send(request()) { prepare(it, body) }
            if (response.body is StreamBody) Sent.Answered(response) else giveUp(response.status.description)
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
            giveUp(e.toString())
        } catch (e: Exception) {
            giveUp((e.cause ?: e).toString())
        }

    /** Waits until [sending], which calls [send] in another thread, is done or this exchange has timed out. */
    fun await(sending: Future<Sent>): Sent =
        try {
            sending.get(timeout.toMillis(), TimeUnit.MILLISECONDS)
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
            giveUp(e.toString())
        } catch (e: TimeoutException) {
            giveUp("not answered within $timeout: $e")
        } catch (e: ExecutionException) {
            giveUp(e.toString())
        }

    /** Ends the exchange if it is not complete; its connection is then closed. */
    override fun close() {
        if (!completed) jettyRequest?.abort(IOException("the exchange was ended by this process"))
    }

    private fun prepare(
        request: JettyRequest,
        body: InputStream?,
    ): JettyRequest {
        jettyRequest = request
        if (body != null) request.body(InputStreamRequestContent(null, body, BUFFERS))
        return request
            .timeout(timeout.toMillis().coerceAtLeast(1), TimeUnit.MILLISECONDS)
            .idleTimeout(NO_IDLE_TIMEOUT, TimeUnit.MILLISECONDS)
            .onRequestBegin { passGate(it) }
            .onComplete { completed = true }
    }

    private fun passGate(request: JettyRequest) {
        if (!gate.compareAndSet(Gate.OPEN, Gate.PASSED)) request.abort(IOException("the request was given up"))
    }

    private fun giveUp(detail: String): Sent {
        val sent = !gate.compareAndSet(Gate.OPEN, Gate.CLOSED)
        close()
        return if (sent) Sent.MaybeSent(detail) else Sent.NotSent(detail)
    }

    private companion object {
        /** The total timeout bounds the exchange; a task may run for long before its answer begins. */
        const val NO_IDLE_TIMEOUT = 0L
        val BUFFERS = ByteBufferPool.Sized(ArrayByteBufferPool(), false, BUFFER_BYTES)
    }
}
