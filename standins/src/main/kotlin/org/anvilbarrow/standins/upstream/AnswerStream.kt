package org.anvilbarrow.standins.upstream

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.codec.strictJson
import java.io.ByteArrayInputStream
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.io.SequenceInputStream
import java.util.Enumeration
import java.util.zip.CRC32
import java.util.zip.CheckedInputStream

/** First line of a task's answer, as JSON. */
@Serializable
internal data class AnswerHead(
    val requestId: String,
    val answerBytes: Long,
    /** Length of the request's body as it reached the task. */
    val bodyBytes: Long,
    /** CRC-32 of the request's body in hexadecimal. */
    val bodyChecksum: String,
) {
    fun toLine(): ByteArray = (strictJson.encodeToString(serializer(), this) + "\n").toByteArray()
}

/** Makes the answer of a task while it is read, so that an answer of any length needs little memory. */
internal class AnswerStream private constructor(
    /** Length of the whole answer in bytes. */
    val length: Long,
    source: InputStream,
    private val onClosed: () -> Unit,
) : FilterInputStream(source) {
    override fun close() {
        super.close()
        onClosed()
    }

    companion object {
        /**
         * Returns the answer with [head].
         *
         * Calls [onWhole] before the last bytes are read, so that the task has ended when its answer is complete, and
         * [onClosed] when nothing more will be read. Reading fails once [stopped] returns true.
         */
        fun of(
            head: AnswerHead,
            stopped: () -> Boolean,
            onWhole: () -> Unit,
            onClosed: () -> Unit,
        ): AnswerStream {
            val firstLine = head.toLine()
            val crc = CRC32()
            val payload = PatternStream(head.requestId.hashCode(), head.answerBytes, stopped)
            val checked = CheckedInputStream(SequenceInputStream(ByteArrayInputStream(firstLine), payload), crc)
            val parts =
                inOrder(
                    { checked },
                    {
                        onWhole()
                        ByteArrayInputStream(checksumLine(crc.value))
                    },
                )
            val length = firstLine.size + head.answerBytes + checksumLine(0).size
            return AnswerStream(length, SequenceInputStream(parts), onClosed)
        }

        /** Last line of an answer. */
        fun checksumLine(crc: Long): ByteArray = "\n${crc.toHex()}\n".toByteArray()

        private fun inOrder(vararg parts: () -> InputStream): Enumeration<InputStream> =
            object : Enumeration<InputStream> {
                private val left = parts.iterator()

                override fun hasMoreElements(): Boolean = left.hasNext()

                override fun nextElement(): InputStream = left.next().invoke()
            }
    }
}

/** Formats a CRC-32 as eight hexadecimal digits. */
internal fun Long.toHex(): String = toString(HEX_RADIX).padStart(CRC_DIGITS, '0')

private const val HEX_RADIX = 16
private const val CRC_DIGITS = 8

/** [length] bytes that count up from a value that depends on [seed]. */
private class PatternStream(
    private val seed: Int,
    private val length: Long,
    private val stopped: () -> Boolean,
) : InputStream() {
    private var offset = 0L

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) == -1) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(
        target: ByteArray,
        targetOffset: Int,
        count: Int,
    ): Int {
        if (stopped()) throw IOException("the task was stopped")
        if (offset == length) return -1
        val bytes = minOf(count.toLong(), length - offset, CYCLES.size - PERIOD.toLong()).toInt()
        val from = ((seed + offset) and BYTE_MASK.toLong()).toInt()
        CYCLES.copyInto(target, targetOffset, from, from + bytes)
        offset += bytes
        return bytes
    }

    private companion object {
        const val PERIOD = 256
        const val BYTE_MASK = 0xff
        val CYCLES = ByteArray(16 * 1024 + PERIOD) { it.toByte() }
    }
}
