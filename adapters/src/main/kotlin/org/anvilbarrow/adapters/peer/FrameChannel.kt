package org.anvilbarrow.adapters.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.withTimeoutOrNull
import org.anvilbarrow.protocol.codec.PeerCodec
import java.io.EOFException
import java.io.IOException
import java.time.Duration

/** The connection has to be closed; [message] names the field, the value seen and the limit. */
internal class PeerFault(
    message: String,
) : IOException(message)

/** The connection has to be replaced because nothing passes over it. */
internal class PeerSilence(
    message: String,
) : IOException(message)

/** Reads and writes frames with a length prefix of four bytes; an empty frame acknowledges those before it. */
internal class FrameChannel(
    socket: Socket,
    private val silence: Duration,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Returns the next frame, which may be empty. */
    suspend fun read(): ByteArray =
        withTimeoutOrNull(silence.toMillis()) { readUntimed() }
            ?: throw PeerSilence("no whole frame arrived for $silence")

    /** Returns the next frame; the caller has to notice if none arrives. */
    suspend fun readUntimed(): ByteArray {
        val length = input.readInt()
        if (length < 0 || length > PeerCodec.MAX_FRAME_BYTES) {
            throw PeerFault("frame length is $length bytes, the limit is ${PeerCodec.MAX_FRAME_BYTES}")
        }
        return if (length == 0) EMPTY else input.readByteArray(length)
    }

    suspend fun write(frame: ByteArray): Unit = writeAll(listOf(frame))

    /** Writes [frames] and sends them together. */
    suspend fun writeAll(frames: List<ByteArray>) {
        withTimeoutOrNull(silence.toMillis()) { writeAllUntimed(frames) }
            ?: throw PeerSilence("${frames.size} frame(s) could not be written for $silence")
    }

    /** Writes [frames] together; the caller has to notice if they cannot be written. */
    suspend fun writeAllUntimed(frames: List<ByteArray>) {
        frames.forEach { frame ->
            output.writeInt(frame.size)
            output.writeFully(frame)
        }
        output.flush()
    }

    suspend fun acknowledge(): Unit = write(EMPTY)

    companion object {
        const val PREFIX_BYTES = 4
        val EMPTY = ByteArray(0)
    }
}

/** Returns what ended a connection, for a log line; Ktor reports a closed connection as missing data. */
internal fun describe(cause: Exception): String =
    if (cause is EOFException) "the other end closed the connection" else cause.message ?: cause.javaClass.simpleName
