package org.anvilbarrow.adapters.http

import org.http4k.core.Body
import java.io.FilterInputStream
import java.io.InputStream
import java.util.concurrent.atomic.AtomicBoolean

/** The body of an upstream's answer; [onCallerGone] and [onClosed] are told of its end. */
internal class StreamedBody(
    answer: InputStream,
    val onCallerGone: () -> Unit,
    onClosed: () -> Unit,
) : Body by Body(ClosingStream(answer, onClosed))

private class ClosingStream(
    stream: InputStream,
    private val onClosed: () -> Unit,
) : FilterInputStream(stream) {
    private val closed = AtomicBoolean()

    override fun close() {
        if (closed.compareAndSet(false, true)) {
            try {
                super.close()
            } finally {
                onClosed()
            }
        }
    }
}
