package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.RecordsPage
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.standins.http.ConnectionFaults
import org.anvilbarrow.standins.http.DownMode
import org.anvilbarrow.standins.http.SilentMode
import org.anvilbarrow.standins.log.LogSettings
import org.anvilbarrow.standins.log.LogStandIn
import org.anvilbarrow.standins.vmlist.VmListSettings
import org.anvilbarrow.standins.vmlist.VmListStandIn
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration
import kotlin.reflect.KClass

private val limits =
    PlatformClientLimits(callTimeout = Duration.ofSeconds(1), maxLogPageBytes = 1_000, maxVmListBytes = 1_000)

private fun reply(
    status: Int,
    body: String,
) = "HTTP/1.1 $status X\r\nContent-Length: ${body.length}\r\n\r\n$body"

internal class PlatformClientsTest {
    private fun withLog(
        settings: LogSettings = LogSettings(),
        use: (LogStandIn, HttpLogClient) -> Unit,
    ): Unit =
        LogStandIn(settings).use { log ->
            HttpLogClient("http://127.0.0.1:${log.start()}", limits).use { client -> use(log, client) }
        }

    private fun <T> withReply(
        status: Int,
        body: String,
        use: (String) -> T,
    ): T = ScriptedServer { reply(status, body) }.use { use("http://${it.address}") }

    @Test
    fun `appends and reads back`() =
        withLog { _, client ->
            expectThat(client.append(listOf("a", "\"é\n"))).isEqualTo(AppendCallResult.Appended(0))
            val page = RecordsPage(listOf(LogRecord(1, "\"é\n")), 0, 2)
            expectThat(client.read(1)).isEqualTo(ReadCallResult.Page(page))
        }

    @Test
    fun `a reader too far behind learns where to start over`() =
        withLog(LogSettings(retainedRecords = 1)) { _, client ->
            client.append(listOf("a", "b", "c"))
            expectThat(client.read(0)).isEqualTo(ReadCallResult.Compacted(2))
        }

    /** An append that may have taken effect must not be reported as not appended, and the other way round. */
    @TestFactory
    fun `classifies how an append ended`(): List<DynamicTest> {
        val notAppended = AppendCallResult.NotAppended::class
        val maybe = AppendCallResult.MaybeAppended::class
        return listOf<Triple<String, ConnectionFaults, KClass<out AppendCallResult>>>(
            Triple("no fault", ConnectionFaults(), AppendCallResult.Appended::class),
            Triple("a refused connection", ConnectionFaults(DownMode.REFUSE), notAppended),
            Triple("a reset connection", ConnectionFaults(DownMode.RESET), maybe),
            Triple("a lost answer", ConnectionFaults(loseAnswers = true), maybe),
            Triple("a cut answer", ConnectionFaults(cutAnswersAfterBytes = 3), maybe),
            Triple("a silent connection", ConnectionFaults(silent = SilentMode.ALL_CONNECTIONS), maybe),
        ).map { (name, faults, expected) ->
            DynamicTest.dynamicTest(name) {
                withLog { log, client ->
                    log.apply(faults)
                    expectThat(client.append(listOf("a"))::class).isEqualTo(expected)
                    if (expected != AppendCallResult.Appended::class) {
                        expectThat(client.read(0)).isA<ReadCallResult.Unreachable>()
                    }
                }
            }
        }
    }

    @Test
    fun `an append over the rate or over the limits is not appended`() =
        withLog(LogSettings(appendsPerSecond = 1)) { _, client ->
            client.append(List(100) { "" })
            expectThat(client.append(List(50) { "" })).isA<AppendCallResult.NotAppended>()
            expectThat(client.append(emptyList())).isA<AppendCallResult.NotAppended>()
        }

    @TestFactory
    fun `replies of the log that are not usable are errors`(): List<DynamicTest> {
        val six = """{"offset":6,"payload":""}"""
        return listOf(
            200 to "{}",
            200 to """{"firstOffset":-1}""",
            200 to """{"records":[{"offset":1,"payload":""}],"firstRetainedOffset":0,"endOffset":1}""",
            200 to
                """{"records":[$six,{"offset":5,"payload":""}],"firstRetainedOffset":0,"endOffset":9}""",
            200 to " ".repeat(5_000),
            410 to """{"records":[],"firstRetainedOffset":5,"endOffset":9}""",
            404 to "no such path",
            503 to "busy",
        ).map { (status, body) ->
            DynamicTest.dynamicTest("$status ${body.take(90)}") {
                withReply(status, body) { url ->
                    HttpLogClient(url, limits).use { client ->
                        expectThat(client.append(listOf("a"))).isA<AppendCallResult.MaybeAppended>()
                        expectThat(client.read(5)).isA<ReadCallResult.Unreachable>()
                    }
                }
            }
        }
    }

    @Test
    fun `reads the VM list, or nothing while it is down`() {
        val vms = listOf(VmEntry("vm-1", VmState.LIVE), VmEntry("vm-2", VmState.LEAVING))
        VmListStandIn(VmListSettings(lag = Duration.ZERO, vms = vms)).use { list ->
            HttpVmListClient("http://127.0.0.1:${list.start()}", limits).use { client ->
                expectThat(client.list().orEmpty()).containsExactly(vms)
                list.apply(ConnectionFaults(DownMode.RESET))
                expectThat(client.list()).isNull()
                list.apply(ConnectionFaults())
                list.model.set("vm-2", null)
                expectThat(client.list().orEmpty()).containsExactly(vms.first())
            }
        }
    }

    @TestFactory
    fun `a VM list that is not usable is none`(): List<DynamicTest> {
        val vm = """{"name":"vm-1","state":"LIVE"}"""
        val replies = listOf(200 to "[$vm,$vm]", 200 to "[$vm", 200 to "[${" ".repeat(2_000)}]", 500 to "[]")
        return replies.map { (status, body) ->
            DynamicTest.dynamicTest("$status ${body.take(40)}") {
                withReply(status, body) { url -> HttpVmListClient(url, limits).use { expectThat(it.list()).isNull() } }
            }
        }
    }
}
