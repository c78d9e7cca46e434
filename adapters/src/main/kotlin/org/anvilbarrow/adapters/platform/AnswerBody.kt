package org.anvilbarrow.adapters.platform

import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream

/**
 * Body of a task's answer that notes whether it was read to its end.
 *
 * The end counts only if the answer's framing marks it: without a length and without chunks, a lost connection looks
 * like the end.
 */
internal class AnswerBody(
    source: InputStream,
    private val expectedBytes: Long?,
    private val chunked: Boolean,
) : FilterInputStream(source) {
    private var bytes = 0L
    private var ended = false
    private var failed = false

    /** True if every byte of the answer was read. */
    val isWhole: Boolean
        get() =
            when {
                failed -> false
                expectedBytes != null -> bytes == expectedBytes
                else -> ended && chunked
            }

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) == -1) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        val count =
            try {
                super.read(target, offset, length)
            } catch (e: IOException) {
                failed = true
                throw e
            }
        if (count == -1) ended = true else bytes += count
        return count
    }

    override fun skip(count: Long): Long {
        val skipped = readNBytes(minOf(count, BUFFER_BYTES.toLong()).toInt())
        return skipped.size.toLong()
    }

    override fun markSupported(): Boolean = false

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
