package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.log.AppendReply
import org.anvilbarrow.protocol.log.AppendRequest
import org.anvilbarrow.protocol.log.RecordsPage
import org.http4k.core.Method
import org.http4k.core.Request

/**
 * Talks HTTP to the platform's log at [baseUrl], for example `http://10.0.0.9:7000`.
 *
 * ```
 * HttpLogClient("http://10.0.0.9:7000").use { log -> log.read(fromOffset = 0) }
 * ```
 */
public class HttpLogClient(
    private val baseUrl: String,
    private val limits: PlatformClientLimits = PlatformClientLimits(),
) : LogClient,
    AutoCloseable {
    private val transport = JettyTransport("log-client", limits)

    override fun append(payloads: List<String>): AppendCallResult {
        val reply =
            transport.call(limits.callTimeout, MAX_APPEND_REPLY_BYTES) {
                Request(Method.POST, "$baseUrl/v1/log/append").json(AppendRequest.serializer(), AppendRequest(payloads))
            }
        return when (reply) {
            is CallReply.NotSent -> AppendCallResult.NotAppended(reply.detail)
            is CallReply.Unknown -> AppendCallResult.MaybeAppended(reply.detail)
            is CallReply.Replied -> appended(reply)
        }
    }

    override fun read(fromOffset: Long): ReadCallResult {
        val reply =
            transport.call(limits.callTimeout, limits.maxLogPageBytes) {
                Request(Method.GET, "$baseUrl/v1/log/records?from=$fromOffset")
            }
        return when (reply) {
            is CallReply.NotSent -> ReadCallResult.Unreachable(reply.detail)
            is CallReply.Unknown -> ReadCallResult.Unreachable(reply.detail)
            is CallReply.Replied -> page(reply, fromOffset)
        }
    }

    override fun close(): Unit = transport.close()

    /** Only replies by which the log itself refuses an append say that nothing was appended. */
    private fun appended(reply: CallReply.Replied): AppendCallResult =
        when (reply.status) {
            STATUS_OK ->
                when (val decoded = reply.decode(AppendReply.serializer(), ::problemOf)) {
                    is DecodedReply.Valid -> AppendCallResult.Appended(decoded.value.firstOffset)
                    is DecodedReply.Malformed -> AppendCallResult.MaybeAppended(decoded.detail)
                }

            in REFUSALS -> AppendCallResult.NotAppended("the log answered ${reply.status}: ${reply.text()}")

            else -> AppendCallResult.MaybeAppended("the log answered ${reply.status}")
        }

    private fun page(
        reply: CallReply.Replied,
        fromOffset: Long,
    ): ReadCallResult {
        if (reply.status != STATUS_OK && reply.status != STATUS_GONE) {
            return ReadCallResult.Unreachable("the log answered ${reply.status}")
        }
        val gone = reply.status == STATUS_GONE
        val decoded =
            reply.decode(
                RecordsPage.serializer(),
            ) { if (gone) it.behind(fromOffset) else it.problem(fromOffset) }
        return when (decoded) {
            is DecodedReply.Malformed -> ReadCallResult.Unreachable(decoded.detail)
            is DecodedReply.Valid -> decoded.value.result(gone)
        }
    }

    private fun RecordsPage.result(gone: Boolean): ReadCallResult =
        if (gone) ReadCallResult.Compacted(firstRetainedOffset) else ReadCallResult.Page(this)

    private fun problemOf(reply: AppendReply): String? =
        if (reply.firstOffset < 0) "the offset ${reply.firstOffset} is negative" else null

    /** Records out of order or outside the asked range would be applied at wrong versions. */
    private fun RecordsPage.problem(fromOffset: Long): String? {
        val offsets = records.map { it.offset }
        return when {
            offsets.zipWithNext().any { (first, second) -> second <= first } -> "the offsets do not increase"
            offsets.any { it < fromOffset || it >= endOffset } -> "an offset is outside of $fromOffset to $endOffset"
            else -> null
        }
    }

    private fun RecordsPage.behind(fromOffset: Long): String? =
        if (firstRetainedOffset <=
            fromOffset
        ) {
            "offset $fromOffset is gone, but $firstRetainedOffset is retained"
        } else {
            null
        }

    private fun CallReply.Replied.text(): String = body.decodeToString().take(MAX_DETAIL_CHARS).trim()

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_GONE = 410
        const val MAX_APPEND_REPLY_BYTES = 4096
        const val MAX_DETAIL_CHARS = 200

        /** Bad request, content too large, too many requests. */
        val REFUSALS = setOf(400, 413, 429)
    }
}
