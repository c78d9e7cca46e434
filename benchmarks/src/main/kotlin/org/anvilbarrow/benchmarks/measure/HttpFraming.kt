package org.anvilbarrow.benchmarks.measure

/** Size of HTTP/1.1 messages with the headers that the lease client and the upstream need. */
internal object HttpFraming {
    fun requestBytes(
        path: String,
        host: String,
        bodyBytes: Int,
    ): Int =
        bodyBytes +
            (
                "POST $path HTTP/1.1\r\nHost: $host\r\nUser-Agent: Jetty/12\r\n" +
                    "Content-Type: application/json\r\nContent-Length: $bodyBytes\r\n\r\n"
            ).length

    fun replyBytes(bodyBytes: Int): Int =
        bodyBytes +
            (
                "HTTP/1.1 200 OK\r\nDate: Mon, 05 Jan 2026 06:00:00 GMT\r\n" +
                    "Content-Type: application/json\r\nContent-Length: $bodyBytes\r\n\r\n"
            ).length
}
