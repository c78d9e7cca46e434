package org.anvilbarrow.scheduler.cli

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.scheduler.logging.LogConfiguration

private val log = KotlinLogging.logger("anvilbarrow.process")

/** Exit status for an internal error, as in sysexits.h. */
private const val EX_SOFTWARE = 70

/**
 * Logs what ends a thread, and ends the process with [halt] if it is an [Error].
 *
 * The threads that are left would accept requests that nobody answers; a restart recovers from what is stored.
 */
internal class ThreadFailure(
    private val halt: (Int) -> Unit = Runtime.getRuntime()::halt,
) : Thread.UncaughtExceptionHandler {
    override fun uncaughtException(
        thread: Thread,
        cause: Throwable,
    ) {
        log.error(cause) { "event=thread-failed thread=${thread.name}" }
        if (cause !is Error) return
        LogConfiguration.flush()
        halt(EX_SOFTWARE)
    }
}
