package org.anvilbarrow.scheduler.process

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger("anvilbarrow.process")

/** Runs a piece of work again and again on a thread of its own until it is closed. */
internal class Poller(
    private val name: String,
    private val interval: Duration,
    /** Returns true to be called again at once. */
    private val work: () -> Boolean,
) : AutoCloseable {
    private val thread = Executors.newSingleThreadScheduledExecutor { Thread(it, name).apply { isDaemon = true } }

    fun start() {
        thread.scheduleWithFixedDelay(::run, 0, interval.toMillis(), TimeUnit.MILLISECONDS)
    }

    override fun close() {
        thread.shutdownNow()
    }

    /** A client that fails in an unforeseen way must not end the polling. */
    @Suppress("TooGenericExceptionCaught")
    private fun run() {
        try {
            do {
                val again = work()
            } while (again && !thread.isShutdown)
        } catch (e: RuntimeException) {
            if (!thread.isShutdown) log.error(e) { "Polling by $name failed." }
        }
    }
}
