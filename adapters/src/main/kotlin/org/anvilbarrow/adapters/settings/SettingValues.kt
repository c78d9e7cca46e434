package org.anvilbarrow.adapters.settings

import java.net.URI
import java.net.URISyntaxException

internal const val NAME_RULE = "1 to 64 of a-z, 0-9, '-', first a letter"
internal const val ADDRESS_RULE = "host:port with a port from 0 to 65535"
internal const val SPAN_RULE = "none, sampled or all"
internal const val URL_RULE = "http://host:port without a path"

private const val MAX_PORT = 65_535
private val NAME = Regex("[a-z][a-z0-9-]{0,63}")
private val ADDRESS = Regex("([A-Za-z0-9.-]+|\\[[0-9a-fA-F:]+]):([0-9]{1,5})")

internal fun name(text: String): String? = text.takeIf(NAME::matches)

internal fun address(text: String): ListenAddress? {
    val (host, port) = ADDRESS.matchEntire(text)?.destructured ?: return null
    return port.toInt().takeIf { it <= MAX_PORT }?.let { ListenAddress(host.removeSurrounding("[", "]"), it) }
}

internal fun url(text: String): String? =
    try {
        val uri = URI(text)
        text.removeSuffix("/").takeIf { uri.scheme == "http" && uri.host != null && uri.path in listOf("", "/") }
    } catch (_: URISyntaxException) {
        null
    }

internal fun format(text: String): LogFormat? = LogFormat.entries.firstOrNull { it.name.lowercase() == text }

internal fun spans(text: String): SpanChoice? = SpanChoice.entries.firstOrNull { it.name.lowercase() == text }
