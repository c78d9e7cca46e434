package org.anvilbarrow.scheduler.process

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.telemetry.SchedulerMetrics
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.KernelLimits
import org.anvilbarrow.kernel.core.SchedulerState
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger("anvilbarrow.control")

/** Runs the kernel on the control thread; other threads post events and read [state]. */
internal class ControlLoop(
    private val kernel: Kernel,
    private val limits: KernelLimits,
    initial: SchedulerState,
    private val clock: InstantSource,
    queuedEvents: Int,
    private val metrics: SchedulerMetrics,
    private val carryOut: (Effect) -> Unit,
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<Event>(queuedEvents)
    private val thread = Thread(::run, "control")

    /** State after the last event that was handled. */
    @Volatile
    var state: SchedulerState = initial
        private set

    @Volatile
    private var closed = false

    fun start(): Unit = thread.start()

    /** Posts an event that may be lost; returns false if the queue is full. */
    fun offer(event: Event): Boolean = queue.offer(event)

    /** Posts an event that must not be lost; waits while the queue is full. Never call it on the control thread. */
    fun post(event: Event) {
        while (!closed && !queue.offer(event, POST_RETRY_MILLIS, TimeUnit.MILLISECONDS)) {
            log.warn { "The event queue has been full for $POST_RETRY_MILLIS ms." }
        }
    }

    override fun close() {
        closed = true
        if (Thread.currentThread() !== thread) thread.join(JOIN_MILLIS)
    }

    private fun run() {
        var nextTick = clock.instant()
        while (!closed) {
            val wait = Duration.between(clock.instant(), nextTick)
            val event = if (wait > Duration.ZERO) queue.poll(wait.toNanos(), TimeUnit.NANOSECONDS) else null
            val now = clock.instant()
            if (event != null) step(event, now)
            if (!now.isBefore(nextTick)) {
                step(Event.Tick, now)
                metrics.state(state, now)
                nextTick = now.plus(limits.tick)
            }
        }
    }

    /** The state is immutable, so an event that breaks an invariant is dropped without harm to the others. */
    @Suppress("TooGenericExceptionCaught")
    private fun step(
        event: Event,
        now: Instant,
    ) {
        try {
            val result = kernel.step(state, event, now)
            state = result.state
            result.effects.forEach(carryOut)
        } catch (e: RuntimeException) {
            metrics.stepFailed()
            log.error(e) { "The kernel failed to handle ${event::class.simpleName}." }
        }
        metrics.step(Duration.between(now, clock.instant()), queue.size)
    }

    private companion object {
        const val POST_RETRY_MILLIS = 1_000L
        const val JOIN_MILLIS = 2_000L
    }
}
