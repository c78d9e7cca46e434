package org.anvilbarrow.scheduler.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.LayoutWrappingEncoder
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Writes log lines to standard output on a separate thread; lines are dropped while the reader is too slow.
 *
 * Replaces an XML configuration, which takes 0.1 s to parse at each start. A file named by the system property
 * `logback.configurationFile` takes precedence.
 */
public class LogConfiguration :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        if (System.getProperty(FILE_PROPERTY) != null) return Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY
        context.getLogger(Logger.ROOT_LOGGER_NAME).run {
            // Jetty logs at DEBUG unless a level is set.
            level = Level.WARN
            addAppender(asyncAppender(context, consoleAppender(context)))
        }
        context.getLogger("anvilbarrow").level = Level.INFO
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun consoleAppender(logger: LoggerContext) =
        ConsoleAppender<ILoggingEvent>().apply {
            context = logger
            name = "text"
            encoder =
                LayoutWrappingEncoder<ILoggingEvent>().apply {
                    context = logger
                    layout = LineLayout().also { it.context = logger }
                    start()
                }
            start()
        }

    private fun asyncAppender(
        logger: LoggerContext,
        target: ConsoleAppender<ILoggingEvent>,
    ) = AsyncAppender().apply {
        context = logger
        queueSize = QUEUE_SIZE
        // The default drops INFO lines once the queue is 80% full.
        discardingThreshold = 0
        isNeverBlock = true
        addAppender(target)
        start()
    }

    public companion object {
        private const val FILE_PROPERTY = "logback.configurationFile"

        /** Holds several seconds of decision log lines at their rate limit. */
        private const val QUEUE_SIZE = 4_096

        /** Writes the queued lines; must be called before the JVM halts. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }
    }
}
