package org.anvilbarrow.adapters.telemetry

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.OutputStreamAppender
import org.anvilbarrow.adapters.settings.LogFormat
import org.slf4j.LoggerFactory

/** Switches the format of the log lines that `logback.xml` sets up. */
public object LogOutput {
    /** Writes further lines in [format]. */
    public fun use(format: LogFormat) {
        if (format == LogFormat.TEXT) return
        val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as? Logger ?: return
        root
            .iteratorForAppenders()
            .asSequence()
            .filterIsInstance<OutputStreamAppender<ILoggingEvent>>()
            .forEach { appender ->
                appender.stop()
                appender.encoder = JsonEncoder().apply { context = root.loggerContext }.apply { start() }
                appender.start()
            }
    }
}
