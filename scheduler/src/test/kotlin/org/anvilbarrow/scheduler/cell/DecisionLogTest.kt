package org.anvilbarrow.scheduler.cell

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.time.Instant

/** Guards against a burst of one kind of decision that floods the log or suppresses other kinds. */
class DecisionLogTest {
    private val lines = ArrayList<String>()
    private val log = DecisionLog(linesPerSecond = 2, write = lines::add)
    private val start = Instant.ofEpochSecond(100)

    @Test
    fun `lines above the rate limit are counted and other kinds are still written`() {
        repeat(5) { log.write("run-lost", "task$it", "", start) }
        log.write("job-failed", "a", "reason", start)
        expectThat(lines).hasSize(3)
        log.write("run-lost", "later", "", start.plusSeconds(1))
        expectThat(lines).contains("event=left-out subject=run-lost detail=\"3 line(s)\"")
        expectThat(lines.last()).isEqualTo("event=run-lost subject=later detail=\"\"")
    }
}
