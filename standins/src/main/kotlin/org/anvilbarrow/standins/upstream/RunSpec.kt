package org.anvilbarrow.standins.upstream

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson
import java.io.InputStream

/**
 * How the task of a request runs: the first line of the request's body, as JSON.
 *
 * ```
 * {"runMillis": 250, "answerBytes": 1048576}
 * ```
 * A body that does not start with `{` runs with the defaults. The rest of the body may have any content and length.
 */
@Serializable
public data class RunSpec(
    /** Time from the end of the request's body to the start of the answer. */
    val runMillis: Long = 0,
    /** Length of the answer's payload; see [AnswerCheck] for the form of the answer. */
    val answerBytes: Long = 0,
    /** True if the answer is sent in chunks, without its length. */
    val chunked: Boolean = false,
    /** True if the task fails after it ran. */
    val fail: Boolean = false,
) {
    init {
        require(runMillis >= 0) { "runMillis is $runMillis, but must not be negative" }
        require(answerBytes >= 0) { "answerBytes is $answerBytes, but must not be negative" }
    }

    internal companion object {
        /** Longest first line, in bytes. */
        const val MAX_LINE_BYTES = 4096

        /** Reads the first line of [body]. */
        fun readFrom(body: InputStream): ParsedSpec {
            val line =
                readLine(body) ?: return ParsedSpec.Malformed("the first line is longer than $MAX_LINE_BYTES bytes")
            if (!line.startsWith("{")) return ParsedSpec.Valid(RunSpec(), line)
            return try {
                ParsedSpec.Valid(strictJson.decodeFromString(serializer(), line), line)
            } catch (e: SerializationException) {
                ParsedSpec.Malformed(e.message ?: "the first line is not JSON")
            } catch (e: IllegalArgumentException) {
                ParsedSpec.Malformed(e.message ?: "the first line is not valid")
            }
        }

        /** A body without a line break is read up to the limit and is longer only if it is no specification. */
        private fun readLine(body: InputStream): String? {
            val line = StringBuilder()
            while (line.length < MAX_LINE_BYTES) {
                val byte = body.read()
                if (byte != -1) line.append(byte.toChar())
                if (byte == -1 || byte == '\n'.code) return line.toString()
            }
            return line.toString().takeUnless { it.startsWith("{") }
        }
    }
}

/** Result of reading a [RunSpec]. */
internal sealed interface ParsedSpec {
    /** [consumed] is the part of the body that was read, one character a byte. */
    data class Valid(
        val spec: RunSpec,
        val consumed: String,
    ) : ParsedSpec

    data class Malformed(
        val detail: String,
    ) : ParsedSpec
}
