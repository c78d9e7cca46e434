package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.standins.http.ConnectionFaults
import org.anvilbarrow.standins.http.SilentMode
import org.anvilbarrow.standins.upstream.AnswerCheck
import org.anvilbarrow.standins.upstream.UpstreamFaults
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import java.io.InputStream
import java.io.SequenceInputStream
import java.time.Duration
import java.util.Collections
import kotlin.concurrent.thread
import kotlin.time.measureTime

private const val TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

internal class HttpUpstreamClientTest {
    private val fixture = UpstreamFixture()
    private val client = fixture.client

    @AfterEach
    fun close() = fixture.close()

    private fun start(
        address: String = fixture.address,
        body: InputStream = "{}".byteInputStream(),
        traceparent: String? = null,
        bodyBytes: Long? = 2,
        onAnswer: (TaskAnswer) -> Unit = { it.body.readAllBytes() },
    ): TaskResult {
        val start = TaskStart("w", "r1", traceparent, Duration.ofSeconds(20), body, bodyBytes)
        return client.startTask(fixture.grant(address), start, onAnswer)
    }

    private fun head(
        status: String,
        vararg headers: String,
    ) = (listOf("HTTP/1.1 $status") + headers).joinToString("\r\n", postfix = "\r\n\r\n")

    /** A reply that is not certainly the whole answer to this instruction must not pass for it. */
    @TestFactory
    fun `sends an instruction once, whatever comes back`(): List<DynamicTest> =
        listOf(
            Triple("a whole answer", TaskResult.ANSWERED, head("200 OK", "Request-Id: r1", "Content-Length: 2") + "ok"),
            Triple("an empty answer", TaskResult.ANSWERED, head("204 No Content", "Request-Id: r1")),
            Triple(
                "an interim answer before the answer",
                TaskResult.ANSWERED,
                head("103 Early Hints") + head("200 OK", "Request-Id: r1", "Content-Length: 0"),
            ),
            Triple(
                "a redirect",
                TaskResult.ANSWERED,
                head("307 Temporary Redirect", "Request-Id: r1", "Location: /elsewhere", "Content-Length: 0"),
            ),
            Triple(
                "a demand for a password",
                TaskResult.ANSWERED,
                head("401 Unauthorized", "Request-Id: r1", "WWW-Authenticate: Basic realm=x", "Content-Length: 0"),
            ),
            Triple("no answer", TaskResult.LOST, null),
            Triple("something that is not HTTP", TaskResult.LOST, "220 smtp ready\r\n\r\n"),
            Triple("half a head", TaskResult.LOST, "HTTP/1.1 200 OK\r\nConnection: close\r\nRequ"),
            Triple("an endless head", TaskResult.LOST, head("200 OK", "X: ${"x".repeat(99_999)}", "Request-Id: r1")),
            Triple(
                "an answer whose end is not marked",
                TaskResult.LOST,
                head("200 OK", "Request-Id: r1", "Connection: close") + "ok",
            ),
            Triple(
                "an answer to another request",
                TaskResult.LOST,
                head("200 OK", "Request-Id: r2", "Content-Length: 0"),
            ),
            Triple("an answer to no request", TaskResult.LOST, head("503 Busy", "Content-Length: 0")),
            Triple(
                "a refusal of another request",
                TaskResult.LOST,
                head("409 Conflict", "Request-Id: r2", "Task-Not-Run: x"),
            ),
            Triple("a known task", TaskResult.LOST, head("409 Conflict", "Request-Id: r1", "Task-Not-Run: task_known")),
            Triple("a refusal with an answer", TaskResult.LOST, head("200 OK", "Request-Id: r1", "Task-Not-Run: x")),
        ).map { (name, result, reply) ->
            DynamicTest.dynamicTest("$name is $result") {
                UpstreamFixture().use { fixture ->
                    ScriptedServer { reply }.use { server ->
                        val start = TaskStart("w", "r1", null, Duration.ofSeconds(2), "x".byteInputStream(), 1)
                        val actual =
                            fixture.client.startTask(
                                fixture.grant(server.address),
                                start,
                            ) { it.body.readAllBytes() }
                        expectThat(actual).isEqualTo(result)
                        expectThat(server.heads).hasSize(1)
                    }
                }
            }
        }

    /** Jetty sends a request again if it finds out in time that a pooled connection is closed. */
    @Test
    fun `does not send again after a pooled connection was closed`() {
        val ok = head("200 OK", "Request-Id: r1", "Content-Length: 0")
        ScriptedServer { count -> ok.takeIf { count == 1 } }.use { server ->
            expectThat(start(server.address)).isEqualTo(TaskResult.ANSWERED)
            expectThat(start(server.address)).isEqualTo(TaskResult.LOST)
            expectThat(server.heads).hasSize(2)
        }
    }

    @Test
    fun `sends a valid trace context on and no other`() {
        ScriptedServer { null }.use { server ->
            listOf(TRACEPARENT, "no trace context", null).forEach { start(server.address, traceparent = it) }
            expectThat(server.heads.map { "traceparent: $TRACEPARENT\r\n" in it }).isEqualTo(listOf(true, false, false))
            expectThat(server.heads.drop(1)).all { get { contains("traceparent") }.isFalse() }
        }
    }

    /** The task must get every byte, and the caller must be able to check its answer while it arrives. */
    @Test
    fun `streams long bodies both ways`() {
        val chunk = ByteArray(1 shl 20)
        val chunks = List(64) { chunk.inputStream() }
        val firstLine = """{"answerBytes": ${256 shl 20}, "chunked": true}""" + "\n"
        val body = SequenceInputStream(Collections.enumeration(listOf(firstLine.byteInputStream()) + chunks))
        var check: AnswerCheck? = null
        expectThat(
            start(body = body, bodyBytes = null) { check = AnswerCheck.of(it.body) },
        ).isEqualTo(TaskResult.ANSWERED)
        expectThat(check).isA<AnswerCheck.Whole>().get { bodyBytes }.isEqualTo(firstLine.length + (64L shl 20))
    }

    @Test
    fun `stops a running task`() {
        val task = TaskId("a 1")
        val stopping =
            thread {
                while (!fixture.upstream.model.isRunning(task)) Thread.onSpinWait()
                client.stopTask(fixture.grant())
            }
        expectThat(
            start(body = """{"runMillis": 3600000}""".byteInputStream(), bodyBytes = null),
        ).isEqualTo(TaskResult.FAILED)
        stopping.join()
    }

    @Test
    fun `releases a lease`() {
        client.releaseLease(fixture.address, LeaseRelease(SchedulerId("a"), epoch = 1))
        val reply = (fixture.ask(fixture.address) as LeaseCallResult.Answered).reply
        expectThat(reply).isA<LeaseReply.Granted>().get { epoch }.isEqualTo(2)
    }

    /** The reply may be seen by the calling thread before Jetty has told all listeners about it. */
    @Test
    fun `never misses a reply`() {
        repeat(3_000) { expectThat(fixture.ask(fixture.address)).isA<LeaseCallResult.Answered>() }
    }

    /** A renewal that waits on a silent connection for longer than the lease loses the upstream. */
    @Test
    fun `gives a silent connection up and renews over another`() {
        val limits = UpstreamFixture.limits.copy(leaseTimeout = Duration.ofSeconds(1))
        HttpUpstreamClient(limits).use { client ->
            expectThat(fixture.ask(fixture.address, client)).isA<LeaseCallResult.Answered>()
            fixture.upstream.apply(UpstreamFaults(ConnectionFaults(silent = SilentMode.OPEN_CONNECTIONS)))
            val waited =
                measureTime { expectThat(fixture.ask(fixture.address, client)).isA<LeaseCallResult.Unanswered>() }
            expectThat(waited.inWholeMilliseconds).isLessThan(3_000)
            expectThat(fixture.ask(fixture.address, client)).isA<LeaseCallResult.Answered>()
        }
    }

    @TestFactory
    fun `a lease reply that is not usable is no answer`(): List<DynamicTest> {
        val granted = LeaseReply.Granted(1, 2, 3, emptyList())

        fun json(reply: LeaseReply) = strictJson.encodeToString(LeaseReply.serializer(), reply)
        return listOf(
            "whole" to json(granted),
            "without a type" to "{}",
            "cut short" to json(granted).dropLast(1),
            "with an unknown field" to json(granted).replaceFirst("{", """{"extra":1,"""),
            "with an epoch that is not positive" to json(granted.copy(epoch = 0)),
            "with a negative remaining time" to json(LeaseReply.Denied(null, -1)),
            "too long" to json(granted) + " ".repeat(UpstreamFixture.MAX_REPLY_BYTES),
            "not JSON" to "\u0000",
        ).map { (name, body) ->
            DynamicTest.dynamicTest(name) {
                ScriptedServer { head("200 OK", "Content-Length: ${body.length}") + body }.use { server ->
                    UpstreamFixture().use { fixture ->
                        val result = fixture.ask(server.address)
                        if (name == "whole") expectThat(result).isEqualTo(LeaseCallResult.Answered(granted))
                        if (name != "whole") expectThat(result).isA<LeaseCallResult.Unanswered>()
                    }
                }
            }
        }
    }

    @Test
    fun `a closed client starts nothing and throws nothing`() {
        client.close()
        expectThat(start()).isEqualTo(TaskResult.NOT_RUN)
        expectThat(fixture.ask(fixture.address)).isA<LeaseCallResult.Unanswered>()
    }

    @Test
    fun `an upstream that cannot be reached gives no lease`() {
        listOf("127.0.0.1:1", "::", "", "a b:1").forEach { address ->
            expectThat(fixture.ask(address)).isA<LeaseCallResult.Unanswered>()
            client.releaseLease(address, LeaseRelease(SchedulerId("a"), 1))
            client.stopTask(fixture.grant(address))
        }
    }
}
