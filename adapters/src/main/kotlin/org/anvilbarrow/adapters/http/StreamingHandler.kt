package org.anvilbarrow.adapters.http

import io.github.oshai.kotlinlogging.KotlinLogging
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.io.IdleTimeout
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.util.Callback
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import org.eclipse.jetty.server.Request as JettyRequest
import org.eclipse.jetty.server.Response as JettyResponse

private val log = KotlinLogging.logger("anvilbarrow.caller")

/**
 * Carries http4k answers over Jetty and writes every part of a body as soon as it was read.
 *
 * http4k's own handler ends an answer whose body breaks off as if it were complete. This one aborts the connection,
 * so that a caller never takes part of an answer for the whole.
 */
internal class StreamingHandler(
    private val handler: HttpHandler,
) : Handler.Abstract() {
    override fun handle(
        request: JettyRequest,
        response: JettyResponse,
        callback: Callback,
    ): Boolean {
        // A queued request may wait longer than the idle timeout; reads and writes that stall still fail.
        request.addIdleTimeoutListener { false }
        val http4kRequest = request.toHttp4k()
        val answer = if (http4kRequest == null) Response(Status.NOT_IMPLEMENTED) else answer(http4kRequest)
        try {
            // The idle time counts from the last read; without this the check may fall into the first write.
            (request.connectionMetaData.connection.endPoint as? IdleTimeout)?.notIdle()
            write(answer, response)
            callback.succeeded()
        } catch (e: IOException) {
            log.info { "An answer was cut off: ${e.message ?: e.javaClass.simpleName}." }
            callback.failed(e)
        }
        return true
    }

    /** A fault in one handler must not cost other requests anything. */
    @Suppress("TooGenericExceptionCaught")
    private fun answer(request: org.http4k.core.Request): Response =
        try {
            handler(request)
        } catch (e: Exception) {
            log.error(e) { "The handler of ${request.method} ${request.uri.path} failed." }
            Response(Status.INTERNAL_SERVER_ERROR)
        }

    private fun write(
        answer: Response,
        response: JettyResponse,
    ) {
        response.status = answer.status.code
        answer.headers.forEach { (name, value) -> response.headers.add(name, value ?: "") }
        val sink = Content.Sink.asOutputStream(response)
        answer.body.stream.use { body -> copy(body, sink, answer.body as? StreamedBody) }
        sink.close()
    }

    private fun copy(
        from: InputStream,
        to: OutputStream,
        streamed: StreamedBody?,
    ) {
        val buffer = ByteArray(CallerLimits.BUFFER_BYTES)
        while (true) {
            val count = from.read(buffer)
            if (count < 0) return
            try {
                to.write(buffer, 0, count)
            } catch (e: IOException) {
                streamed?.onCallerGone?.invoke()
                throw e
            }
        }
    }
}
