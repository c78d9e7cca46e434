package org.anvilbarrow.ctl

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList

/** A scheduler that gives fixed answers by method and path, and remembers what it was asked. */
internal class FakeCell(
    private val answers: Map<String, Pair<Int, String>> = emptyMap(),
) : AutoCloseable {
    val calls = CopyOnWriteArrayList<String>()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val url get() = "http://127.0.0.1:${server.address.port}"

    init {
        server.createContext("/", ::answer)
        server.start()
    }

    private fun answer(exchange: HttpExchange) {
        val call = "${exchange.requestMethod} ${exchange.requestURI}"
        val body = exchange.requestBody.readAllBytes().decodeToString()
        calls += "$call $body".trim()
        val (status, text) = answers[call] ?: answers[exchange.requestMethod] ?: (404 to NOT_FOUND)
        exchange.sendResponseHeaders(status, text.length.toLong())
        exchange.responseBody.use { it.write(text.toByteArray()) }
    }

    override fun close() = server.stop(0)

    companion object {
        const val NOT_FOUND = """{"error":"not_found","detail":"team \"a\" does not exist"}"""
        const val ACCEPTED = """{"kind":"team","name":"a","version":7,"changeId":"c"}"""
        const val TEAM = """{"kind":"team","name":"a","version":7,"spec":{"weight":3}}"""
    }
}
