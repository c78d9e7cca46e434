package org.anvilbarrow.standins

import java.net.InetAddress
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException

/** One TCP connection to a stand-in, without a client that hides what happens on it. */
internal class RawConnection(
    port: Int,
) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port)

    fun send(
        request: String,
        body: String = "",
        headers: String = "",
    ): RawConnection =
        apply {
            val head = "$request HTTP/1.1\r\nHost: test\r\nContent-Length: ${body.length}\r\n$headers\r\n"
            socket.getOutputStream().write((head + body).toByteArray())
        }

    /** Returns the status, `silent` if nothing arrives in time, or how the connection ended. */
    fun outcome(timeoutMillis: Int = 5_000): String {
        socket.soTimeout = timeoutMillis
        return try {
            val head = ByteArray(STATUS_END)
            val read = socket.getInputStream().readNBytes(head, 0, head.size)
            if (read == 0) "closed" else head.decodeToString().drop(STATUS_START)
        } catch (_: SocketTimeoutException) {
            "silent"
        } catch (e: SocketException) {
            if (e.message == "Connection reset") "reset" else e.toString()
        }
    }

    /** Reads up to and including the first [last]. */
    fun skipPast(last: Char): RawConnection =
        apply { generateSequence { socket.getInputStream().read() }.first { it == last.code || it == -1 } }

    /** Reads to the end of the connection, one character a byte. */
    fun rest(): String = socket.getInputStream().readAllBytes().toString(Charsets.ISO_8859_1)

    override fun close(): Unit = socket.close()

    private companion object {
        const val STATUS_START = 9
        const val STATUS_END = 12
    }
}
