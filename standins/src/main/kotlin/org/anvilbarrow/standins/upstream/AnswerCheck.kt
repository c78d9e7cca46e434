package org.anvilbarrow.standins.upstream

import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.util.zip.CRC32

/**
 * Whether an answer of a stand-in is whole.
 *
 * An answer consists of a line of JSON with the request id and the lengths, the payload, a line break, and a line with
 * the CRC-32 of everything before that line break in hexadecimal.
 */
public sealed interface AnswerCheck {
    /** The answer is complete and unchanged. */
    public data class Whole(
        val requestId: String,
        val answerBytes: Long,
        /** Length of the request's body as it reached the task. */
        val bodyBytes: Long,
        /** CRC-32 of the request's body as it reached the task, in hexadecimal. */
        val bodyChecksum: String,
    ) : AnswerCheck

    /** The answer is cut short or changed. */
    public data class Broken(
        val detail: String,
    ) : AnswerCheck

    public companion object {
        private const val BUFFER_BYTES = 16 * 1024
        private const val MAX_HEAD_BYTES = 4096

        /** Reads [answer] to its end, in constant memory. */
        public fun of(answer: InputStream): AnswerCheck =
            try {
                check(answer.buffered(BUFFER_BYTES))
            } catch (e: IOException) {
                Broken("the answer cannot be read: ${e.message}")
            } catch (e: SerializationException) {
                Broken("the first line is not a valid head: ${e.message}")
            }

        private fun check(answer: InputStream): AnswerCheck {
            val crc = CRC32()
            val firstLine = readHead(answer)
            val head = strictJson.decodeFromString(AnswerHead.serializer(), firstLine.decodeToString())
            crc.update(firstLine)
            val payloadBytes = skipPayload(answer, head.answerBytes, crc)
            val end = answer.readNBytes(BUFFER_BYTES)
            return when {
                payloadBytes < head.answerBytes -> Broken("$payloadBytes of ${head.answerBytes} payload bytes arrived")
                !end.contentEquals(AnswerStream.checksumLine(crc.value)) -> Broken("the checksum does not match")
                else -> Whole(head.requestId, head.answerBytes, head.bodyBytes, head.bodyChecksum)
            }
        }

        private fun readHead(answer: InputStream): ByteArray {
            val line = ByteArrayOutputStream()
            var byte = answer.read()
            while (byte != -1 && byte != '\n'.code && line.size() < MAX_HEAD_BYTES) {
                line.write(byte)
                byte = answer.read()
            }
            if (byte != -1) line.write(byte)
            return line.toByteArray()
        }

        private fun skipPayload(
            answer: InputStream,
            length: Long,
            crc: CRC32,
        ): Long {
            val buffer = ByteArray(BUFFER_BYTES)
            var bytes = 0L
            while (bytes < length) {
                val read = answer.read(buffer, 0, minOf(buffer.size.toLong(), length - bytes).toInt())
                if (read == -1) break
                crc.update(buffer, 0, read)
                bytes += read
            }
            return bytes
        }
    }
}
