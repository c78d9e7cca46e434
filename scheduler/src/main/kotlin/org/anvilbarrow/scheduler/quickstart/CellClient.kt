package org.anvilbarrow.scheduler.quickstart

import org.anvilbarrow.adapters.http.CallerHeaders
import org.anvilbarrow.standins.upstream.AnswerCheck
import org.http4k.client.JavaHttpClient
import org.http4k.core.BodyMode
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import java.io.IOException
import java.io.InputStream
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** What a caller saw of one request. */
internal data class Seen(
    val workload: String,
    val requestId: String,
    /** `answered`, `refused`, `unknown`, or what went wrong. */
    val outcome: String,
    val sentAt: Instant,
    val detail: String,
    /** Time from sending the request to the start of its first task, or null if none started. */
    val wait: Duration? = null,
)

/** A caller that sends requests to the schedulers of a cell. */
internal class CellClient(
    private val clock: InstantSource,
) {
    private val http: HttpHandler = JavaHttpClient(responseBodyMode = BodyMode.Stream)

    /** Sends one request to the scheduler at [port] and reads the answer to its end. */
    fun send(
        port: Int,
        workload: String,
        requestId: String,
        body: String,
    ): Seen {
        val sentAt = clock.instant()
        val request =
            Request(Method.POST, "http://127.0.0.1:$port/v1/workloads/$workload/requests")
                .header(CallerHeaders.REQUEST_ID, requestId)
                .header(CallerHeaders.ISSUED_AT, sentAt.toString())
                .header(CallerHeaders.DEADLINE, sentAt.plus(DEADLINE).toString())
                .header(CallerHeaders.ATTEMPT, "first")
                .body(body)
        val (outcome, detail) =
            try {
                val response = http(request)
                val outcome = response.header(CallerHeaders.OUTCOME) ?: "status ${response.status.code}"
                outcome to
                    (if (outcome == ANSWERED) checked(response.body.stream, requestId) else response.bodyString())
            } catch (e: IOException) {
                "no outcome" to (e.message ?: e.javaClass.simpleName)
            }
        return Seen(workload, requestId, outcome, sentAt, detail)
    }

    private fun checked(
        answer: InputStream,
        requestId: String,
    ): String =
        when (val check = AnswerCheck.of(answer)) {
            is AnswerCheck.Whole -> if (check.requestId == requestId) "" else "the answer is for ${check.requestId}"
            is AnswerCheck.Broken -> check.detail
        }

    companion object {
        const val ANSWERED = "answered"
        val DEADLINE: Duration = Duration.ofSeconds(30)
    }
}
