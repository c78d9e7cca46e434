package org.anvilbarrow.adapters.telemetry

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.OutputStreamAppender
import ch.qos.logback.core.spi.AppenderAttachable
import org.anvilbarrow.adapters.settings.LogFormat
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Switches the format of the log lines that a process writes. */
public object LogOutput {
    /** Writes further lines in [format]. */
    public fun use(format: LogFormat) {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.let { use(format, it) }
    }

    /** Writes further lines of [logging] in [format]. */
    public fun use(
        format: LogFormat,
        logging: LoggerContext,
    ) {
        if (format == LogFormat.TEXT) return
        outputsOf(logging.getLogger(Logger.ROOT_LOGGER_NAME)).forEach { appender ->
            appender.stop()
            appender.encoder = JsonEncoder().apply { context = logging }.apply { start() }
            appender.start()
        }
    }

    /** Outputs may stand behind a queue, which is an appender with appenders of its own. */
    private fun outputsOf(appenders: AppenderAttachable<ILoggingEvent>): List<OutputStreamAppender<ILoggingEvent>> =
        appenders.iteratorForAppenders().asSequence().toList().flatMap { appender ->
            when (appender) {
                is OutputStreamAppender<ILoggingEvent> -> listOf(appender)
                is AsyncAppender -> outputsOf(appender)
                else -> emptyList()
            }
        }
}
