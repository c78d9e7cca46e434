package org.anvilbarrow.standins.log

import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.RecordsPage
import org.anvilbarrow.standins.ManualClock
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.time.Duration

private class Fixture {
    val clock = ManualClock()
    val log =
        LogModel(LogSettings(appendsPerSecond = 100, retainedRecords = 5, retainedChars = 50, pageRecords = 2), clock)

    fun append(vararg payloads: String) = log.append(payloads.toList())

    fun page(from: Long) = (log.read(from) as ReadDecision.Page).page
}

internal class LogModelTest {
    @TestFactory
    fun `keeps records in order within its limits`(): List<DynamicTest> =
        listOf<Pair<String, Fixture.() -> Unit>>(
            "payloads of one append get consecutive offsets" to {
                append("a")
                expectThat(append("b", "c")).isEqualTo(AppendDecision.Appended(1))
                val expected = RecordsPage(listOf(LogRecord(1, "b"), LogRecord(2, "c")), 0, 3)
                expectThat(page(1)).isEqualTo(expected)
            },
            "a page has limited length" to {
                append("a", "b", "c")
                expectThat(page(0).records).hasSize(2)
            },
            "a read at or after the end gives an empty page" to {
                append("a")
                expectThat(page(1)).isEqualTo(RecordsPage(emptyList(), 0, 1))
                expectThat(page(99)).isEqualTo(RecordsPage(emptyList(), 0, 1))
            },
            "a reader too far behind learns the first retained offset" to {
                append("a", "b", "c", "d", "e", "f")
                expectThat(log.read(0)).isEqualTo(ReadDecision.TooFarBehind(RecordsPage(emptyList(), 1, 6)))
            },
            "long records are retained in smaller number" to {
                append("x".repeat(30))
                append("y".repeat(30))
                expectThat(page(1).firstRetainedOffset).isEqualTo(1)
            },
            "an append over the rate is refused until the time that it names" to {
                append(*Array(100) { "" })
                expectThat(append("a")).isEqualTo(AppendDecision.OverRate(Duration.ofNanos(10_000_001)))
                clock.advanceMillis(10)
                expectThat(append("a")).isEqualTo(AppendDecision.Appended(100))
                expectThat(append("b")).isA<AppendDecision.OverRate>()
            },
            "an invalid append has no effect" to {
                expectThat(append()).isA<AppendDecision.Invalid>()
                expectThat(append(*Array(101) { "" })).isA<AppendDecision.Invalid>()
                expectThat(append("x".repeat(LogModel.MAX_PAYLOAD_CHARS + 1))).isA<AppendDecision.Invalid>()
                expectThat(page(0).endOffset).isEqualTo(0)
            },
        ).map { (name, check) -> DynamicTest.dynamicTest(name) { Fixture().check() } }
}
