package org.anvilbarrow.adapters.platform

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Answers every request with bytes that no proper server sends; a reply of null closes the connection. */
internal class ScriptedServer(
    private val reply: (requestCount: Int) -> String?,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** Heads of the requests that arrived. */
    val heads = CopyOnWriteArrayList<String>()
    val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { runCatching { while (true) serveInBackground(server.accept()) } }
    }

    override fun close(): Unit = server.close()

    private fun serveInBackground(socket: Socket) = thread(isDaemon = true) { serve(socket) }

    private fun serve(socket: Socket) {
        socket.use { runCatching { generateSequence { answerNext(socket) }.firstOrNull { "Connection: close" in it } } }
    }

    private fun answerNext(socket: Socket): String? {
        heads += readHead(socket.getInputStream()) ?: return null
        return reply(heads.size)?.also { socket.getOutputStream().write(it.toByteArray()) }
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return null)
        val bodyBytes =
            Regex("Content-Length: (\\d+)")
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toInt() ?: 0
        input.readNBytes(bodyBytes)
        return head.toString()
    }

    private companion object {
        const val BACKLOG = 16
    }
}
