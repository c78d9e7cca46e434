package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.DelayedExecutor
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.PriorityQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger("anvilbarrow.control")

/**
 * The thread that owns the control state of a process.
 *
 * Tasks run in the order in which they were posted. After each batch of waiting tasks, [afterBatch] runs once, so that
 * the work of a burst is done once and not for each of its events.
 */
internal class ControlThread(
    private val clock: InstantSource,
    private val afterBatch: (Instant) -> Unit,
) : DelayedExecutor,
    AutoCloseable {
    private class Timed(
        val at: Instant,
        val order: Long,
        val task: () -> Unit,
    )

    private val queue = LinkedBlockingQueue<() -> Unit>()
    private val timed =
        PriorityQueue<Timed> { first, second -> compareValuesBy(first, second, { it.at }, { it.order }) }
    private var lastOrder = 0L
    private val thread = Thread(::loop, "control")

    @Volatile
    private var closed = false

    fun start(): Unit = thread.start()

    fun post(task: () -> Unit) {
        queue.put(task)
    }

    override fun run(
        pause: Duration,
        task: () -> Unit,
    ) {
        if (pause.isZero) post(task) else post { timed += Timed(clock.instant().plus(pause), ++lastOrder, task) }
    }

    override fun close() {
        closed = true
        post { }
        if (Thread.currentThread() !== thread) thread.join(JOIN_MILLIS)
    }

    private fun loop() {
        val batch = ArrayList<() -> Unit>()
        while (!closed) {
            val first = next()
            if (first != null) batch += first
            queue.drainTo(batch)
            val now = clock.instant()
            while (timed.isNotEmpty() && !timed.peek().at.isAfter(now)) batch += timed.poll().task
            batch.forEach(::guarded)
            batch.clear()
            guarded { afterBatch(clock.instant()) }
        }
    }

    private fun next(): (() -> Unit)? {
        val at = timed.peek()?.at ?: return queue.take()
        val wait = Duration.between(clock.instant(), at).toNanos()
        return if (wait <= 0) queue.poll() else queue.poll(wait, TimeUnit.NANOSECONDS)
    }

    /** A task that breaks an invariant must not end the thread; the next owner or renewal repairs the state. */
    @Suppress("TooGenericExceptionCaught")
    private fun guarded(task: () -> Unit) {
        try {
            task()
        } catch (e: RuntimeException) {
            log.error(e) { "event=task-failed" }
        }
    }

    private companion object {
        const val JOIN_MILLIS = 1_000L
    }
}
