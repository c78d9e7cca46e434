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
 * Tasks run in the order in which they were posted. [afterBatch] runs once after each batch of queued tasks, so that
 * a burst of events causes its follow-up work once.
 */
internal class ControlThread(
    private val clock: InstantSource,
    private val afterBatch: (Instant) -> Unit,
) : DelayedExecutor,
    AutoCloseable {
    private class DelayedTask(
        val at: Instant,
        val id: Long,
        val task: () -> Unit,
    )

    private val queue = LinkedBlockingQueue<() -> Unit>()
    private val delayed =
        PriorityQueue<DelayedTask> { first, second -> compareValuesBy(first, second, { it.at }, { it.id }) }
    private var lastId = 0L
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
        if (pause.isZero) post(task) else post { delayed += DelayedTask(clock.instant().plus(pause), ++lastId, task) }
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
            while (delayed.isNotEmpty() && !delayed.peek().at.isAfter(now)) batch += delayed.poll().task
            batch.forEach(::runSafely)
            batch.clear()
            runSafely { afterBatch(clock.instant()) }
        }
    }

    private fun next(): (() -> Unit)? {
        val at = delayed.peek()?.at ?: return queue.take()
        val wait = Duration.between(clock.instant(), at).toNanos()
        return if (wait <= 0) queue.poll() else queue.poll(wait, TimeUnit.NANOSECONDS)
    }

    /** Keeps the thread alive if a task violates an invariant; the next owner or renewal repairs the state. */
    @Suppress("TooGenericExceptionCaught")
    private fun runSafely(task: () -> Unit) {
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
