package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.standins.ManualClock
import org.anvilbarrow.standins.RawConnection
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.startsWith

internal class UpstreamStandInTest {
    private val clock = ManualClock()
    private val upstream = UpstreamStandIn(clock = clock)
    private val port = upstream.start()
    private val lease: LeaseReply.Granted

    init {
        clock.advanceMillis(3_000)
        lease = upstream.model.lease(LeaseRequest(SchedulerId("a"), 1, 0, 3_000)) as LeaseReply.Granted
    }

    @AfterEach
    fun close() = upstream.close()

    private fun headers(epoch: Long = lease.epoch) =
        """
        |Connection: close
        |Request-Id: r1
        |Workload: w
        |Lease-Epoch: $epoch
        |Upstream-Incarnation: ${lease.upstreamIncarnation}
        |Start-By-Millis: ${lease.upstreamClockMillis + 1_000}
        |Task-Resources: ${strictJson.encodeToString(Resources.serializer(), Resources(1_000, 64, slots = 1))}
        |
        """.trimMargin().replace("\n", "\r\n")

    private fun run(
        body: String,
        headers: String = headers(),
    ) = RawConnection(port).use { it.send("POST /v1/tasks/t1", body, headers).rest() }

    /** The answer is what a caller uses to check that it got all of its own answer. */
    @ParameterizedTest
    @CsvSource("0, false", "1000000, false", "1000000, true")
    fun `a task answers with its request id and a checksum`(
        answerBytes: Long,
        chunked: Boolean,
    ) {
        val answer = run("""{"answerBytes": $answerBytes, "chunked": $chunked}""" + "\nrest of the body")
        expectThat(answer).contains("Request-Id: r1")
        if (!chunked) {
            val check = AnswerCheck.of(answer.substringAfter("\r\n\r\n").byteInputStream(Charsets.ISO_8859_1))
            expectThat(check).isA<AnswerCheck.Whole>().and {
                get { requestId }.isEqualTo("r1")
                get { this.answerBytes }.isEqualTo(answerBytes)
            }
        }
        expectThat(upstream.model.isRunning(TaskId("t1"))).isFalse()
    }

    @Test
    fun `a changed or cut answer is noticed`() {
        val answer = run("""{"answerBytes": 1000}""").substringAfter("\r\n\r\n")
        val changed = answer.replaceRange(500, 501, "#")
        expectThat(AnswerCheck.of(answer.byteInputStream(Charsets.ISO_8859_1))).isA<AnswerCheck.Whole>()
        listOf(answer.dropLast(1), answer.take(500), changed, answer + "x", "").forEach {
            expectThat(AnswerCheck.of(it.byteInputStream(Charsets.ISO_8859_1))).isA<AnswerCheck.Broken>()
        }
    }

    @ParameterizedTest(name = "{0} is refused with {2}")
    @CsvSource(
        delimiter = '|',
        value = [
            "an old epoch            | {}                | 409 | epoch_superseded",
            "a malformed run         | {\"runMillis\": x | 400 | malformed",
            "a negative size         | {\"answerBytes\": -1} | 400 | malformed",
        ],
    )
    fun `a refusal says that the task did not run`(
        name: String,
        body: String,
        status: String,
        code: String,
    ) {
        val reply = run(body, headers(if (name == "an old epoch") lease.epoch - 1 else lease.epoch))
        expectThat(reply).startsWith("HTTP/1.1 $status").contains("Task-Not-Run: $code")
        expectThat(upstream.model.audit().startCount).isEqualTo(0)
    }

    @Test
    fun `an instruction without its headers is refused`() {
        val reply = run("", "Connection: close\r\nRequest-Id: r1\r\n")
        expectThat(reply).startsWith("HTTP/1.1 400").contains("Task-Not-Run: malformed").contains("Request-Id: r1")
    }

    @Test
    fun `a failing upstream starts every task and fails it`() {
        RawConnection(port).use { it.send("PUT /v1/faults", """{"failTasks": true}""").outcome() }
        val reply = run("{}")
        expectThat(reply).startsWith("HTTP/1.1 500")
        expectThat(reply.contains("Task-Not-Run")).isFalse()
        expectThat(upstream.model.audit().startCount).isEqualTo(1)
    }

    @Test
    fun `a leaving upstream says so in its lease replies`() {
        RawConnection(port).use { it.send("PUT /v1/faults", """{"leaving": true}""").outcome() }
        val body = strictJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(SchedulerId("a"), 1, 1, 3_000))
        val reply = RawConnection(port).use { it.send("POST /v1/lease", body, "Connection: close\r\n").rest() }
        expectThat(reply).contains(""""type":"granted"""").contains(""""leaving":true""")
    }

    /** A task that ignored a stop would run for an hour here. */
    @ParameterizedTest
    @CsvSource("stop", "restart", "orphan")
    fun `a running task ends early`(how: String) {
        val connection = RawConnection(port).send("POST /v1/tasks/t1", """{"runMillis": 3600000}""", headers())
        while (!upstream.model.isRunning(TaskId("t1"))) Thread.onSpinWait()
        when (how) {
            "stop" -> RawConnection(port).use { it.send("POST /v1/tasks/t1/stop").outcome() }
            "restart" -> upstream.restart()
            "orphan" -> clock.advanceMillis(23_000)
        }
        expectThat(connection.outcome()).isEqualTo(if (how == "restart") "closed" else "500")
        expectThat(upstream.model.isRunning(TaskId("t1"))).isFalse()
    }

    @Test
    fun `a lease longer than the quiet time is a bad request`() {
        val body = strictJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(SchedulerId("a"), 1, 0, 3_001))
        expectThat(RawConnection(port).send("POST /v1/lease", body).outcome()).isEqualTo("400")
    }

    /** 1 GiB does not fit into the heap of a test many times over, and must not be made before it is read. */
    @Test
    fun `the length of an answer does not matter for memory`() {
        val head = AnswerHead("r1", 1L shl 30, 0, "00000000")
        val stream = AnswerStream.of(head, stopped = { false }, onWhole = {}, onClosed = {})
        val before = usedHeapBytes()
        expectThat(AnswerCheck.of(stream)).isA<AnswerCheck.Whole>()
        expectThat(usedHeapBytes() - before).isLessThan(64L shl 20)
    }

    private fun usedHeapBytes() = Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
