package org.anvilbarrow.scheduler.quickstart

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isTrue

class QuickstartTest {
    /** Guards against parts that work alone but not together, and against a stop that does not hand over. */
    @Test
    fun `a cell answers every request once and stops gracefully`() {
        val report = Quickstart().run()
        expectThat(report).describedAs(report.text()).get { isGood }.isTrue()
    }
}
