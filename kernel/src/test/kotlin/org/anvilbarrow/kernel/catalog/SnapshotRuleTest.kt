package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.SchedulerId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration
import java.time.Instant

/** Guards against a log whose retention ends before a snapshot was written, and against many writers. */
internal class SnapshotRuleTest {
    private val rule = SnapshotRule()
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val live = listOf("a", "b", "c").map(::SchedulerId)
    private val catalog = Catalog(appliedOffset = 10, current = true)

    private fun decide(
        catalog: Catalog,
        log: LogExtent,
        self: String,
        after: Duration,
        schedule: SnapshotSchedule = rule.start(start),
    ) = rule.step(schedule, catalog, log, SchedulerId(self), live, start + after)

    @TestFactory
    fun `when a snapshot is written`(): List<DynamicTest> {
        val whole = LogExtent(0, 10)
        val many = catalog.copy(appliedOffset = rule.maxRecords)
        val hour = rule.interval
        return listOf(
            case("before the interval", catalog, whole, "a", hour.minusMillis(1), false),
            case("after the interval", catalog, whole, "a", hour, true),
            case("after the interval by the second scheduler", catalog, whole, "b", hour, false),
            case("by the second scheduler after its wait", catalog, whole, "b", hour + rule.takeover, true),
            case("when not current", catalog.copy(current = false), whole, "a", hour, false),
            case("after many records", many, LogExtent(0, rule.maxRecords), "a", Duration.ZERO, true),
            case("when the log has dropped records", catalog, LogExtent(2, 10), "a", Duration.ZERO, true),
        )
    }

    private fun case(
        name: String,
        catalog: Catalog,
        log: LogExtent,
        self: String,
        after: Duration,
        written: Boolean,
    ) = dynamicTest(name) { expectThat(decide(catalog, log, self, after).write).isEqualTo(written) }

    @Test
    fun `one writer waits for its snapshot before it writes again`() {
        val log = LogExtent(0, 10)
        val first = decide(catalog, log, "a", rule.interval).schedule
        expectThat(decide(catalog, log, "a", rule.interval, first).write).isEqualTo(false)
        expectThat(decide(catalog, log, "a", rule.interval + rule.minInterval, first).write).isEqualTo(true)
        val seen = catalog.copy(snapshots = SnapshotProgress(lastAsOfOffset = 10))
        expectThat(decide(seen, log, "a", rule.interval + rule.minInterval, first).write).isEqualTo(false)
    }
}
