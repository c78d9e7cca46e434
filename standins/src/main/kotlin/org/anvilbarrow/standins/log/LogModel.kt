package org.anvilbarrow.standins.log

import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.RecordsPage
import java.time.Duration
import java.time.InstantSource

/** An append-only log with offsets, limited rate and limited retention, without HTTP. Thread-safe. */
public class LogModel(
    private val settings: LogSettings,
    private val clock: InstantSource,
) {
    private val records = ArrayDeque<LogRecord>()
    private val rate = AppendRate(settings.appendsPerSecond, clock.instant())
    private var retainedChars = 0L
    private var endOffset = 0L

    /** Appends all of [payloads] or none. */
    @Synchronized
    public fun append(payloads: List<String>): AppendDecision {
        val problem = problemOf(payloads)
        if (problem != null) return AppendDecision.Invalid(problem)
        val wait = rate.take(payloads.size, clock.instant())
        if (wait > Duration.ZERO) return AppendDecision.OverRate(wait)
        val firstOffset = endOffset
        payloads.forEach(::add)
        return AppendDecision.Appended(firstOffset)
    }

    /** Reads a page from [fromOffset] on. */
    @Synchronized
    public fun read(fromOffset: Long): ReadDecision {
        val firstRetained = firstRetainedOffset()
        if (fromOffset <
            firstRetained
        ) {
            return ReadDecision.TooFarBehind(RecordsPage(emptyList(), firstRetained, endOffset))
        }
        val page = ArrayList<LogRecord>()
        var chars = 0L
        var index = fromOffset - firstRetained
        while (index < records.size && page.size < settings.pageRecords) {
            val record = records[index.toInt()]
            chars += record.payload.length
            if (page.isNotEmpty() && chars > MAX_PAGE_CHARS) break
            page += record
            index += 1
        }
        return ReadDecision.Page(RecordsPage(page, firstRetained, endOffset))
    }

    private fun problemOf(payloads: List<String>): String? =
        when {
            payloads.isEmpty() -> "the append has no payloads"
            payloads.size > MAX_PAYLOADS -> "the append has ${payloads.size} payloads, more than $MAX_PAYLOADS"
            payloads.any { it.length > MAX_PAYLOAD_CHARS } -> "a payload is longer than $MAX_PAYLOAD_CHARS characters"
            else -> null
        }

    private fun add(payload: String) {
        records.addLast(LogRecord(endOffset, payload))
        endOffset += 1
        retainedChars += payload.length
        while (records.size > 1 &&
            (records.size > settings.retainedRecords || retainedChars > settings.retainedChars)
        ) {
            retainedChars -= records.removeFirst().payload.length
        }
    }

    private fun firstRetainedOffset(): Long = records.firstOrNull()?.offset ?: endOffset

    public companion object {
        /** Most payloads in one append. */
        public const val MAX_PAYLOADS: Int = 100

        /** Longest payload, in characters. */
        public const val MAX_PAYLOAD_CHARS: Int = 256 * 1024

        /** Payload characters in one page, unless its only record is longer. */
        public const val MAX_PAGE_CHARS: Int = 256 * 1024
    }
}
