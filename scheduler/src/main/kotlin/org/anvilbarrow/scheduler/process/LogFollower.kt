package org.anvilbarrow.scheduler.process

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.platform.AppendCallResult
import org.anvilbarrow.adapters.platform.LogClient
import org.anvilbarrow.adapters.platform.ReadCallResult
import org.anvilbarrow.kernel.core.Event

private val log = KotlinLogging.logger("anvilbarrow.log")

/** Reads the log from its start on and posts what it finds; also carries out the kernel's appends. */
internal class LogFollower(
    private val client: LogClient,
    /** Offset of the next record that the kernel needs. */
    private val neededOffset: () -> Long,
    private val post: (Event) -> Unit,
) {
    private var nextOffset = 0L
    private var reachable = true
    private var atEnd = false

    /** Reads one page; returns true if more may follow at once. */
    fun poll(): Boolean {
        // A page that the kernel failed to handle is read again; the kernel ignores records that it has.
        if (atEnd) nextOffset = minOf(nextOffset, neededOffset())
        return read().also { more -> atEnd = !more }
    }

    private fun read(): Boolean =
        when (val result = client.read(nextOffset)) {
            is ReadCallResult.Page -> {
                if (!reachable) log.info { "The log answers again." }
                reachable = true
                nextOffset = (
                    result.page.records
                        .lastOrNull()
                        ?.offset ?: (nextOffset - 1)
                ) + 1
                post(Event.LogRead(result.page.records, result.page.endOffset))
                result.page.records.isNotEmpty() && nextOffset < result.page.endOffset
            }
            is ReadCallResult.Compacted -> {
                log.warn { "The log no longer keeps offset $nextOffset; reading from ${result.firstRetainedOffset}." }
                nextOffset = result.firstRetainedOffset
                post(Event.LogCompacted(result.firstRetainedOffset))
                true
            }
            is ReadCallResult.Unreachable -> {
                if (reachable) log.warn { "The log does not answer: ${result.detail}." }
                reachable = false
                post(Event.LogUnreachable)
                false
            }
        }

    /** Appends [payload]; the kernel sees the result when it reads the record back. */
    fun append(payload: String) {
        when (val result = client.append(listOf(payload))) {
            is AppendCallResult.Appended -> log.debug { "Appended a record at offset ${result.firstOffset}." }
            is AppendCallResult.NotAppended -> log.warn { "A record was not appended: ${result.detail}." }
            is AppendCallResult.MaybeAppended -> log.warn { "A record may have been appended: ${result.detail}." }
        }
    }
}
