package org.anvilbarrow.ctl

import com.github.ajalt.clikt.core.CliktError
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** One call of the resource interface; [path] starts with `/v1/`. */
internal data class Call(
    val method: String,
    val path: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap(),
)

/** An answer of a scheduler. */
internal data class Answer(
    val status: Int,
    val body: String,
)

/** The schedulers of a cell: a call goes to the first one that answers. */
internal class Servers(
    private val addresses: List<URI>,
    private val callTimeout: Duration = CALL_TIMEOUT,
) {
    private val client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build()

    /**
     * Sends [call] to one server after another until one answers with something other than "refused".
     *
     * A change carries a change id, so it takes effect once even if an earlier server wrote it and did not answer.
     */
    fun send(call: Call): Answer {
        val failures = mutableListOf<String>()
        var refused: Answer? = null
        for (address in addresses) {
            try {
                val answer = client.send(request(address, call), HttpResponse.BodyHandlers.ofString())
                if (answer.statusCode() != REFUSED_STATUS) return Answer(answer.statusCode(), answer.body())
                refused = Answer(answer.statusCode(), answer.body())
            } catch (e: IOException) {
                failures += "$address: ${e.message ?: e.javaClass.simpleName}"
            }
        }
        return refused ?: throw noneAnswers(failures)
    }

    /** Opens a stream at the first server that answers. */
    fun stream(call: Call): HttpResponse<InputStream> {
        val failures = mutableListOf<String>()
        for (address in addresses) {
            try {
                val answer = client.send(request(address, call), HttpResponse.BodyHandlers.ofInputStream())
                if (answer.statusCode() != REFUSED_STATUS) return answer
                failures += "$address: refused"
            } catch (e: IOException) {
                failures += "$address: ${e.message ?: e.javaClass.simpleName}"
            }
        }
        throw noneAnswers(failures)
    }

    private fun request(
        address: URI,
        call: Call,
    ): HttpRequest {
        val body = call.body?.let(HttpRequest.BodyPublishers::ofString) ?: HttpRequest.BodyPublishers.noBody()
        val builder = HttpRequest.newBuilder(address.resolve(call.path)).method(call.method, body).timeout(callTimeout)
        call.headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    private fun noneAnswers(failures: List<String>): CliktError {
        val tried = failures.joinToString("\n  ", prefix = "\n  ")
        val advice = "Name a running scheduler with --server or ANVILCTL_SERVERS."
        return CliktError("no scheduler answers:$tried\n$advice", statusCode = ExitCode.NO_SERVER.status)
    }

    private companion object {
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(3)

        /** Three times as long as a scheduler waits to read a change back. */
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(15)
        const val REFUSED_STATUS = 503
    }
}
