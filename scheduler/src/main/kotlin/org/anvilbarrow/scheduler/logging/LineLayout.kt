package org.anvilbarrow.scheduler.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.LayoutBase
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder
import java.util.Locale

/**
 * Formats an event as one line: UTC time, level, logger, message; a stack trace follows if there is one.
 *
 * Not a pattern layout, because parsing a pattern with a locale-specific date format takes 0.1 s of CPU time at
 * start-up.
 */
internal class LineLayout : LayoutBase<ILoggingEvent>() {
    override fun doLayout(event: ILoggingEvent): String =
        buildString {
            append(TIME.format(Instant.ofEpochMilli(event.timeStamp))).append(' ')
            append(event.level.toString().padEnd(LEVEL_CHARS)).append(' ')
            append(event.loggerName).append(": ").append(event.formattedMessage).append('\n')
            event.throwableProxy?.let { append(ThrowableProxyUtil.asString(it)) }
        }

    private companion object {
        const val LEVEL_CHARS = 5
        const val MILLI_DIGITS = 3
        val TIME: DateTimeFormatter =
            DateTimeFormatterBuilder().appendInstant(MILLI_DIGITS).toFormatter(Locale.ROOT)
    }
}
