package org.anvilbarrow.scheduler.cli

import org.anvilbarrow.scheduler.logging.LogConfiguration
import java.util.concurrent.CountDownLatch

/**
 * Runs until SIGTERM or SIGINT and then ends with status 0 if [stop] returns true, else with 1.
 *
 * The JVM ends with status 143 after SIGTERM unless the shutdown hook halts it.
 */
internal fun untilTerminated(
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
