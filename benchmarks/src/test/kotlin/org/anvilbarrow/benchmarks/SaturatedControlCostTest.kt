package org.anvilbarrow.benchmarks

import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.report.runKernels
import org.anvilbarrow.benchmarks.simulation.Scenario
import org.anvilbarrow.benchmarks.workload.prairieMix
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/** Guards against owners that are asked again and again for capacity that they do not have. */
class SaturatedControlCostTest {
    @Test
    fun `a placement above capacity takes as few messages as below it`() {
        val run = runKernels(Scenario(CellShape.PRAIRIE, prairieMix, load = 1.5, arrivalSeconds = 10))
        expectThat(run.control)
            .isNotNull()
            .get { requestMessagesPerPlacement }
            .isLessThanOrEqualTo(MESSAGES_PER_PLACEMENT)
    }
}
