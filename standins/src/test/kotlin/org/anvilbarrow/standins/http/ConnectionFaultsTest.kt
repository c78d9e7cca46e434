package org.anvilbarrow.standins.http

import org.anvilbarrow.standins.RawConnection
import org.anvilbarrow.standins.log.LogStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import java.net.ConnectException
import kotlin.time.measureTimedValue

private const val SHORT_WAIT_MILLIS = 300
private const val LONG_WAIT_MILLIS = 5_000

/** Tests of other modules rely on these faults; a switch that does nothing would make them pass for no reason. */
internal class ConnectionFaultsTest {
    private val log = LogStandIn()
    private val port = log.start()

    @AfterEach
    fun close() = log.close()

    private fun put(
        faults: String,
        toPort: Int = port,
    ) = expectThat(RawConnection(toPort).use { it.send("PUT /v1/faults", faults).outcome() }).isEqualTo("200")

    private fun append(waitMillis: Int = LONG_WAIT_MILLIS) =
        RawConnection(port).send("POST /v1/log/append", """{"payloads": ["a"]}""").outcome(waitMillis)

    private fun endOffset() = log.model.append(listOf("end")).toString()

    @ParameterizedTest(name = "{0} gives {1} and the append {2}")
    @CsvSource(
        delimiter = '|',
        value = [
            """{}                                    | 200    | Appended(firstOffset=1)""",
            """{"down": "reset"}                     | reset  | Appended(firstOffset=0)""",
            """{"loseAnswers": true}                 | reset  | Appended(firstOffset=1)""",
            """{"silent": "all_connections"}         | silent | Appended(firstOffset=0)""",
            """{"silent": "open_connections"}        | 200    | Appended(firstOffset=1)""",
        ],
    )
    fun `an append under a fault`(
        faults: String,
        outcome: String,
        next: String,
    ) {
        put(faults)
        expectThat(append(if (outcome == "silent") SHORT_WAIT_MILLIS else LONG_WAIT_MILLIS)).isEqualTo(outcome)
        expectThat(endOffset()).isEqualTo(next)
        put("{}")
        expectThat(append()).isEqualTo("200")
    }

    @Test
    fun `a port that refuses connections opens again`() {
        val before = RawConnection(port)
        put("""{"down": "refuse"}""", log.controlPort)
        expectThat(before.outcome()).isEqualTo("closed")
        expectThrows<ConnectException> { RawConnection(port) }
        put("{}", log.controlPort)
        expectThat(append()).isEqualTo("200")
    }

    @Test
    fun `a silent connection stays silent while later ones work`() {
        val silent = RawConnection(port)
        expectThat(silent.send("GET /v1/faults").outcome()).isEqualTo("200")
        put("""{"silent": "open_connections"}""")
        expectThat(append()).isEqualTo("200")
        put("{}")
        silent.skipPast('}').send("GET /v1/log/records?from=0")
        expectThat(silent.outcome(SHORT_WAIT_MILLIS)).isEqualTo("silent")
    }

    @Test
    fun `added latency delays the answer`() {
        put("""{"addedLatencyMillis": 200}""")
        val (outcome, duration) = measureTimedValue { RawConnection(port).send("GET /v1/log/records?from=0").outcome() }
        expectThat(outcome).isEqualTo("200")
        expectThat(duration.inWholeMilliseconds).isGreaterThanOrEqualTo(200)
    }

    @Test
    fun `an answer is cut after some bytes`() {
        put("""{"cutAnswersAfterBytes": 5}""")
        val answer = RawConnection(port).send("GET /v1/log/records?from=0").rest()
        val whole = """{"records":[],"firstRetainedOffset":0,"endOffset":0}"""
        expectThat(answer).contains("Content-Length: ${whole.length}")
        expectThat(answer.substringAfter("\r\n\r\n")).isEqualTo("""{"rec""")
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = ["""{"down": "maybe"}""", """{"dwon": "reset"}""", """{"addedLatencyMillis": -1}"""],
    )
    fun `faults that are not valid change nothing`(faults: String) {
        expectThat(RawConnection(port).send("PUT /v1/faults", faults).outcome()).isEqualTo("400")
        expectThat(log.faults).isEqualTo(ConnectionFaults())
    }
}
