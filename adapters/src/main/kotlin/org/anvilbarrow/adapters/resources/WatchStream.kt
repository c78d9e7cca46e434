package org.anvilbarrow.adapters.resources

import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.resources.WatchLine
import org.anvilbarrow.protocol.resources.WatchLineType
import java.io.InputStream
import java.time.InstantSource

/**
 * The lines of one watch, read as they arise.
 *
 * It holds one batch of events. A watch that reads so slowly that its next event is no longer kept is dropped.
 */
internal class WatchStream(
    private val view: CatalogView,
    from: Long,
    private val clock: InstantSource,
    private val limits: ResourceLimits,
    private val isStopping: () -> Boolean,
    private val onClosed: () -> Unit,
) : InputStream() {
    private var next = from

    // The server sends the head of its answer with the first line, and a client waits for it.
    private var lines = encode(listOf(WatchLine(WatchLineType.PROGRESS, from)))
    private var position = 0
    private var ended = false
    private var closed = false
    private var lastLineAt = clock.instant()

    override fun read(): Int = if (fill()) lines[position++].toInt() and BYTE_MASK else -1

    override fun read(
        buffer: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        if (length == 0) return 0
        if (!fill()) return -1
        val count = minOf(length, lines.size - position)
        lines.copyInto(buffer, offset, position, position + count)
        position += count
        return count
    }

    override fun close() {
        if (closed) return
        closed = true
        onClosed()
    }

    /** Waits for the next lines; returns false at the end. */
    private fun fill(): Boolean {
        while (position == lines.size) {
            if (ended) return false
            if (!advance()) {
                view.awaitPoll()
                view.refreshed()
            }
        }
        return true
    }

    private fun advance(): Boolean {
        if (isStopping()) return end("the scheduler stops; continue on another one")
        return when (val watched = view.eventsFrom(next)) {
            is WatchedEvents.TooOld -> {
                end("the watch fell behind version ${watched.firstVersion}, the oldest kept; list again")
            }

            is WatchedEvents.Events -> {
                next = watched.nextVersion
                val isQuiet = clock.instant() >= lastLineAt + limits.watchProgress
                when {
                    watched.events.isNotEmpty() -> put(watched.events.map(ResourceJson::line))
                    isQuiet -> put(listOf(WatchLine(WatchLineType.PROGRESS, next)))
                    else -> false
                }
            }
        }
    }

    private fun end(reason: String): Boolean {
        ended = true
        return put(listOf(WatchLine(WatchLineType.DROPPED, next, detail = reason)))
    }

    private fun put(added: List<WatchLine>): Boolean {
        lines = encode(added)
        position = 0
        lastLineAt = clock.instant()
        return true
    }

    private companion object {
        const val BYTE_MASK = 0xFF

        fun encode(lines: List<WatchLine>): ByteArray =
            lines.joinToString("") { strictJson.encodeToString(WatchLine.serializer(), it) + "\n" }.toByteArray()
    }
}
