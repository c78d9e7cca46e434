package org.anvilbarrow.standins.http

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.io.EOFException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.TimeUnit

/** Applies [ConnectionFaults] to requests on the [data] connector, except those that control the stand-in. */
internal class FaultHandler(
    next: Handler,
    private val data: Connector,
    private val silentConnections: SilentConnections,
    private val faults: () -> ConnectionFaults,
) : Handler.Wrapper(next) {
    override fun handle(
        request: Request,
        response: Response,
        callback: Callback,
    ): Boolean {
        if (isControl(request)) return super.handle(request, response, callback)
        val current = faults()
        val endPoint = request.connectionMetaData.connection.endPoint
        if (current.silent == SilentMode.ALL_CONNECTIONS) silentConnections.add(endPoint)
        return when {
            endPoint in silentConnections -> true
            current.down == DownMode.RESET -> endPoint.reset(callback)
            current.addedLatencyMillis > 0 -> handleLater(request, response, callback, current.addedLatencyMillis)
            else -> super.handle(request, FaultyResponse(request, response, endPoint), callback)
        }
    }

    private fun isControl(request: Request): Boolean =
        request.connectionMetaData.connector !== data || Request.getPathInContext(request) in CONTROL_PATHS

    private fun handleLater(
        request: Request,
        response: Response,
        callback: Callback,
        delayMillis: Long,
    ): Boolean {
        val endPoint = request.connectionMetaData.connection.endPoint
        val handleNow = {
            if (!super.handle(request, FaultyResponse(request, response, endPoint), callback)) {
                Response.writeError(request, response, callback, NOT_FOUND)
            }
        }
        val executor = request.components.executor
        request.components.scheduler.schedule(
            { executor.execute { runCatching(handleNow).onFailure(callback::failed) } },
            delayMillis,
            TimeUnit.MILLISECONDS,
        )
        return true
    }

    /** Stops writing where the current faults say so. */
    private inner class FaultyResponse(
        request: Request,
        response: Response,
        private val endPoint: EndPoint,
    ) : Response.Wrapper(request, response) {
        private var bodyBytes = 0L

        override fun write(
            last: Boolean,
            content: ByteBuffer?,
            callback: Callback,
        ) {
            val current = faults()
            val cutAfter = current.cutAnswersAfterBytes
            val length = content?.remaining() ?: 0
            when {
                endPoint in silentConnections -> silentConnections.hold(callback)
                current.loseAnswers -> endPoint.reset(callback)
                cutAfter != null && bodyBytes + length > cutAfter -> cut(content, cutAfter - bodyBytes, callback)
                else -> super.write(last, content, callback)
            }
            bodyBytes += length
        }

        private fun cut(
            content: ByteBuffer?,
            keepBytes: Long,
            callback: Callback,
        ) {
            val kept = content?.slice()?.limit(keepBytes.coerceAtLeast(0).toInt())
            val closing =
                Callback.from {
                    endPoint.close()
                    callback.failed(EOFException("the answer was cut by a fault"))
                }
            super.write(false, kept, closing)
        }
    }

    private companion object {
        const val NOT_FOUND = 404
        val CONTROL_PATHS = setOf("/v1/faults", "/v1/audit")
    }
}

/** Closes the connection with a TCP reset and fails [callback]. */
private fun EndPoint.reset(callback: Callback): Boolean {
    (transport as? SocketChannel)?.setOption(StandardSocketOptions.SO_LINGER, 0)
    close()
    callback.failed(EOFException("the connection was reset by a fault"))
    return true
}
