package org.anvilbarrow.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.resources.WatchLine
import org.anvilbarrow.protocol.resources.WatchLineType
import java.io.IOException
import java.io.InputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.BlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

internal class Watch : CliktCommand(name = "watch") {
    private val session by requireObject<Session>()
    private val from by option("--from", help = "First version to show; default 0").long().default(0)
    private val output by option("-o", "--output").choice("table", "json").default("table")

    override fun help(context: Context) =
        "Shows changes as they come into force. When a scheduler stops, the watch goes on at another one."

    override fun run() {
        var next = from
        while (true) next = follow(next)
    }

    /** Shows one stream until it ends and returns the version to go on from. */
    private fun follow(start: Long): Long {
        val answer = session.watch(start)
        if (answer.statusCode() != OK) {
            val body = answer.body().use { it.readBytes().decodeToString() }
            throw Session.failure(Answer(answer.statusCode(), body))
        }
        var next = start
        answer.body().use { body ->
            val lines = readInBackground(body)
            while (true) {
                val text = lines.poll(SILENCE_SECONDS, TimeUnit.SECONDS) ?: END
                if (text == END) return next
                val line = strictJson.decodeFromString(WatchLine.serializer(), text)
                next = show(line, text)
            }
        }
    }

    private fun show(
        line: WatchLine,
        text: String,
    ): Long {
        val isEvent = line.type !in listOf(WatchLineType.PROGRESS, WatchLineType.DROPPED)
        when {
            line.detail?.contains(
                "list again",
            ) == true -> throw CliktError(line.detail, statusCode = ExitCode.TOO_OLD.status)
            !isEvent -> Unit
            output == "json" -> echo(text)
            else ->
                echo(
                    "${line.version}  ${line.type.name.lowercase()}  ${line.kind} ${line.name}  ${line.spec ?: ""}"
                        .trimEnd(),
                )
        }
        return if (isEvent) line.version + 1 else line.version
    }

    /** A connection can go silent without being closed, so lines are read on a thread that may be left behind. */
    private fun readInBackground(body: InputStream): BlockingQueue<String> {
        val lines = ArrayBlockingQueue<String>(QUEUED_LINES)
        thread(isDaemon = true, name = "watch") {
            try {
                body.bufferedReader().forEachLine(lines::put)
            } catch (_: IOException) {
                // The watch goes on at the next server, as after the end of the stream.
            }
            lines.put(END)
        }
        return lines
    }

    private companion object {
        const val OK = 200
        const val QUEUED_LINES = 64

        /** Three times the interval of progress lines. */
        const val SILENCE_SECONDS = 30L
        const val END = ""
    }
}
