package org.anvilbarrow.scheduler.cli

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.scheduler.logging.LogConfiguration

private val log = KotlinLogging.logger("anvilbarrow.process")

/** Exit status for an internal software error, from sysexits.h. */
private const val EX_SOFTWARE = 70

/**
 * Logs the exception that ended a thread, and ends the process with [halt] if it is an [Error].
 *
 * The remaining threads would accept requests that are never answered; a restart recovers from the stored state.
 */
internal class ThreadFailureHandler(
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
