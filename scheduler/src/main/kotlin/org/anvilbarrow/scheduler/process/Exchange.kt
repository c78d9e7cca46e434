package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.http.CallerAnswer
import org.anvilbarrow.adapters.http.RequestBody
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.peer.Grant
import java.io.InputStream
import java.time.Duration
import java.time.Instant
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean

/** One HTTP exchange with a caller: its body, its one answer and its running tasks. */
internal class Exchange(
    val id: ExchangeId,
    val arrivedAt: Instant,
    private val body: RequestBody,
    /** The whole body if it is short enough to be sent more than once. */
    private val kept: ByteArray?,
) {
    private val answer = CompletableFuture<CallerAnswer>()
    private val bodyTaken = AtomicBoolean()

    /** Grants whose tasks were started and have not ended. */
    val running: MutableMap<TaskId, Grant> = ConcurrentHashMap()

    /** True once the kernel wants no further task of this exchange started. */
    @Volatile
    var abandoned: Boolean = false

    val isAnswered: Boolean get() = answer.isDone

    val bodyBytes: Long get() = body.bytes

    val canSendBodyAgain: Boolean get() = kept != null

    /** Returns the body for one task, or null if it was sent before and is not kept. */
    fun takeBody(): InputStream? =
        when {
            kept != null -> kept.inputStream()
            bodyTaken.compareAndSet(false, true) -> body.stream
            else -> null
        }

    /** Gives the caller its answer; returns false if it already has one. */
    fun answer(value: CallerAnswer): Boolean = answer.complete(value)

    /** Waits for the answer; returns null if there is none after [timeout]. */
    fun await(timeout: Duration): CallerAnswer? =
        try {
            answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        }
}
