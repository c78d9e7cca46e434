package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.standins.http.ConnectionFaults
import org.anvilbarrow.standins.http.DownMode
import org.anvilbarrow.standins.http.SilentMode
import org.anvilbarrow.standins.upstream.AnswerCheck
import org.anvilbarrow.standins.upstream.UpstreamFaults
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.io.ByteArrayInputStream
import java.io.IOException
import java.io.InputStream
import java.io.SequenceInputStream
import java.time.Duration
import java.util.concurrent.CountDownLatch

private object FailingStream : InputStream() {
    override fun read(): Int = throw IOException("the caller is gone")
}

private object StallingStream : InputStream() {
    override fun read(): Int {
        CountDownLatch(1).await()
        return -1
    }
}

/** What is special in one case; [starts] is how many tasks the upstream starts, or null if that depends on timing. */
private data class Case(
    val name: String,
    val result: TaskResult,
    val starts: Long? = 1,
    val body: String = """{"answerBytes": 1000}""",
    val stream: InputStream? = null,
    val connection: ConnectionFaults = ConnectionFaults(),
    val failTasks: Boolean = false,
    val timeout: Duration = Duration.ofSeconds(10),
    val requestId: String = "r1",
    val grant: UpstreamFixture.() -> Grant = { grant() },
    /** Reads the answer; null for a check of the whole answer. */
    val onAnswer: ((TaskAnswer) -> Unit)? = null,
)

private const val LONG_CHUNKS = """{"answerBytes": 50000, "chunked": true}"""
private val short = Duration.ofSeconds(1)

private val answered =
    listOf(
        Case("a whole answer", TaskResult.ANSWERED),
        Case("a whole answer in chunks", TaskResult.ANSWERED, body = LONG_CHUNKS),
        Case("an answer after the idle time of connections", TaskResult.ANSWERED, body = """{"runMillis": 700}"""),
        Case("a failing upstream", TaskResult.FAILED, failTasks = true),
        Case("a failing task", TaskResult.FAILED, body = """{"fail": true}"""),
    )

private val notRun =
    listOf(
        Case("an old epoch", TaskResult.NOT_RUN, 0, grant = { grant(epoch = 0) }),
        Case("a refused long body", TaskResult.NOT_RUN, 0, stream = zeros(8 shl 20), grant = { grant(epoch = 0) }),
        Case("an address that is none", TaskResult.NOT_RUN, 0, grant = { grant(address = "::") }),
        Case("a refused connection", TaskResult.NOT_RUN, 0, connection = ConnectionFaults(DownMode.REFUSE)),
        Case("a request id with a line break", TaskResult.NOT_RUN, 0, requestId = "r1\r\nWorkload: other"),
        Case("no time left", TaskResult.NOT_RUN, 0, timeout = Duration.ZERO),
        Case("a body that never begins", TaskResult.NOT_RUN, 0, timeout = short, stream = StallingStream),
        Case("a body that cannot be read", TaskResult.NOT_RUN, 0, stream = FailingStream),
    )

private val lost =
    listOf(
        Case(
            "a body that breaks off",
            TaskResult.LOST,
            null,
            stream = SequenceInputStream(zeros(1 shl 20), FailingStream),
        ),
        Case(
            "a body that stalls",
            TaskResult.LOST,
            null,
            timeout = short,
            stream = SequenceInputStream(zeros(9), StallingStream),
        ),
        Case("a reset connection", TaskResult.LOST, 0, connection = ConnectionFaults(DownMode.RESET)),
        Case("a lost answer", TaskResult.LOST, connection = ConnectionFaults(loseAnswers = true)),
        Case("a cut answer", TaskResult.LOST, connection = ConnectionFaults(cutAnswersAfterBytes = 200)),
        Case(
            "cut chunks",
            TaskResult.LOST,
            body = LONG_CHUNKS,
            connection = ConnectionFaults(cutAnswersAfterBytes = 20_000),
        ),
        Case(
            "a silent connection",
            TaskResult.LOST,
            0,
            timeout = short,
            connection = ConnectionFaults(silent = SilentMode.ALL_CONNECTIONS),
        ),
        Case(
            "a slow upstream",
            TaskResult.LOST,
            0,
            timeout = short,
            connection = ConnectionFaults(addedLatencyMillis = 5_000),
        ),
        Case("a task over its timeout", TaskResult.LOST, null, timeout = short, body = """{"runMillis": 9000}"""),
        Case("an answer that is not read", TaskResult.LOST, onAnswer = {}),
        Case("a caller that is gone", TaskResult.LOST, onAnswer = { throw IOException("the caller is gone") }),
    )

private fun zeros(count: Int): InputStream = ByteArrayInputStream(ByteArray(count))

internal class TaskResultTest {
    /** A wrong result runs work twice, or tells a caller that work did not run although it did. */
    @TestFactory
    fun `classifies how a task ended`(): List<DynamicTest> =
        (answered + notRun + lost).map { case ->
            DynamicTest.dynamicTest("${case.name} is ${case.result}") { UpstreamFixture().use { it.check(case) } }
        }

    private fun UpstreamFixture.check(case: Case) {
        upstream.apply(UpstreamFaults(case.connection, case.failTasks))
        var answer: AnswerCheck? = null
        val stream = case.stream ?: case.body.byteInputStream()
        val start =
            TaskStart(
                "w",
                case.requestId,
                null,
                case.timeout,
                stream,
                case.body.length.toLong().takeIf {
                    case.stream ==
                        null
                },
            )
        val onAnswer = case.onAnswer ?: { answer = AnswerCheck.of(it.body) }
        val result = client.startTask(case.grant(this), start, onAnswer)
        expectThat(result).isEqualTo(case.result)
        if (result == TaskResult.ANSWERED) expectThat(answer).isA<AnswerCheck.Whole>()
        if (case.starts != null) expectThat(upstream.model.audit().startCount).isEqualTo(case.starts)
    }
}
