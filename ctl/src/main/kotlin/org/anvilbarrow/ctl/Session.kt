package org.anvilbarrow.ctl

import com.github.ajalt.clikt.core.CliktError
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.resources.ChangeAccepted
import org.anvilbarrow.protocol.resources.ResourceDocument
import org.anvilbarrow.protocol.resources.ResourceErrorCode
import org.anvilbarrow.protocol.resources.ResourceList
import org.anvilbarrow.protocol.resources.ResourceProblem
import java.net.URLEncoder
import java.util.UUID

/** Calls of the resource interface with typed answers; any other answer ends the program with its exit code. */
internal class Session(
    private val servers: Servers,
) {
    fun get(
        kind: String,
        name: String,
    ): ResourceDocument = decode(ResourceDocument.serializer(), servers.send(Call("GET", path(kind, name))))

    fun find(
        kind: String,
        name: String,
    ): ResourceDocument? {
        val answer = servers.send(Call("GET", path(kind, name)))
        return if (answer.status == NOT_FOUND) null else decode(ResourceDocument.serializer(), answer)
    }

    fun list(
        kind: String,
        selectors: List<String>,
    ): ResourceList {
        val query =
            selectors.joinToString(
                "&",
            ) { selector -> selector.split('=', limit = 2).joinToString("=", transform = ::encode) }
        val path = "/v1/${encode(kind)}" + if (query.isEmpty()) "" else "?$query"
        return decode(ResourceList.serializer(), servers.send(Call("GET", path)))
    }

    fun put(
        kind: String,
        name: String,
        spec: JsonObject,
        expectedVersion: Long?,
    ): ChangeAccepted = change(Call("PUT", path(kind, name), spec.toString(), condition(expectedVersion)))

    fun delete(
        kind: String,
        name: String,
        expectedVersion: Long?,
    ): ChangeAccepted = change(Call("DELETE", path(kind, name), headers = condition(expectedVersion)))

    fun drain(
        upstream: String,
        verb: String,
    ): ChangeAccepted = change(Call("POST", path("upstreams", upstream) + "/$verb"))

    fun watch(from: Long) = servers.stream(Call("GET", "/v1/watch?from=$from"))

    private fun change(call: Call): ChangeAccepted {
        val id = UUID.randomUUID().toString()
        return decode(
            ChangeAccepted.serializer(),
            servers.send(call.copy(headers = call.headers + ("Change-Id" to id))),
        )
    }

    private fun condition(expectedVersion: Long?): Map<String, String> =
        when (expectedVersion) {
            null -> emptyMap()
            0L -> mapOf("If-None-Match" to "*")
            else -> mapOf("If-Match" to "\"$expectedVersion\"")
        }

    private fun <T> decode(
        type: DeserializationStrategy<T>,
        answer: Answer,
    ): T =
        try {
            if (answer.status != OK) throw failure(answer)
            strictJson.decodeFromString(type, answer.body)
        } catch (e: SerializationException) {
            throw CliktError(
                "the server's answer is not understood: ${e.message}",
                e,
                ExitCode.UNEXPECTED_ANSWER.status,
            )
        }

    private fun path(
        kind: String,
        name: String,
    ) = "/v1/${encode(kind)}/${encode(name)}"

    private fun encode(text: String) = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

    companion object {
        private const val OK = 200
        private const val NOT_FOUND = 404

        /** Returns the error that ends the program after [answer]. */
        fun failure(answer: Answer): CliktError {
            val problem =
                try {
                    strictJson.decodeFromString(ResourceProblem.serializer(), answer.body)
                } catch (_: SerializationException) {
                    val text = "the server answered ${answer.status}: ${answer.body.trim()}"
                    return CliktError(text, statusCode = ExitCode.UNEXPECTED_ANSWER.status)
                }
            val id = problem.changeId.takeIf { problem.error == ResourceErrorCode.UNKNOWN_OUTCOME }
            val text = problem.detail + id?.let { " (change id $it)" }.orEmpty()
            return CliktError(text, statusCode = ExitCode.of(problem.error).status)
        }
    }
}
