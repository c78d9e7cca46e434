package org.anvilbarrow.scheduler.cli

import org.anvilbarrow.scheduler.logging.LogConfiguration
import java.util.concurrent.CountDownLatch

/**
 * Calls [start], waits for SIGTERM or SIGINT, calls [stop] and exits with status 0 if it returned true, or else 1.
 *
 * The shutdown hook halts the JVM because it would otherwise exit with status 143 after SIGTERM.
 */
internal fun runUntilTerminated(
    start: () -> Unit,
    stop: () -> Boolean,
) {
    start()
    val hook =
        Thread({
            val status = if (stop()) 0 else 1
            LogConfiguration.flush()
            Runtime.getRuntime().halt(status)
        }, "stop")
    Runtime.getRuntime().addShutdownHook(hook)
    CountDownLatch(1).await()
}
