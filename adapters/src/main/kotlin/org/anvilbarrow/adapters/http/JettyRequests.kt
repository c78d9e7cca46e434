package org.anvilbarrow.adapters.http

import org.eclipse.jetty.io.Content
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Uri
import org.eclipse.jetty.server.Request as JettyRequest

/**
 * Converts a Jetty request, or returns null if its method is not known.
 *
 * Header values are kept as sent; http4k's own conversion splits them at commas, which would hide malformed values.
 */
internal fun JettyRequest.toHttp4k(): Request? {
    val known = Method.values().firstOrNull { it.name == method } ?: return null
    return Request(known, Uri.of(httpURI.pathQuery))
        .headers(headers.map { it.name to it.value })
        .body(Content.Source.asInputStream(this), length.takeIf { it >= 0 })
}
