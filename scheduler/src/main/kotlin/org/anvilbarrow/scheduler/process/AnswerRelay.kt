package org.anvilbarrow.scheduler.process

import java.io.FilterInputStream
import java.io.InputStream
import java.util.concurrent.CountDownLatch

/** Lets the caller's thread read an answer while the task's thread waits for the end of it. */
internal class AnswerRelay(
    answer: InputStream,
) : FilterInputStream(answer) {
    private val ended = CountDownLatch(1)

    /** Waits until the whole answer was read or given up. */
    fun awaitEnd(): Unit = ended.await()

    override fun read(): Int = watched { super.read() }

    override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int = watched { super.read(target, offset, length) }

    override fun close(): Unit = ended.countDown()

    private inline fun watched(read: () -> Int): Int {
        var count = END
        try {
            count = read()
        } finally {
            if (count == END) ended.countDown()
        }
        return count
    }

    private companion object {
        const val END = -1
    }
}
