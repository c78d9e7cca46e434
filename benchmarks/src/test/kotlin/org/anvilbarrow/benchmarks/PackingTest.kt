package org.anvilbarrow.benchmarks

import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.report.runKernels
import org.anvilbarrow.benchmarks.simulation.Scenario
import org.anvilbarrow.benchmarks.workload.sundayBatchMix
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo

/** Guards against batch work that leaves more capacity unused than the target allows. */
class PackingTest {
    @Test
    fun `saturated batch work is packed nearly as well as by an offline packer`() {
        val run = runKernels(Scenario(CellShape.PRAIRIE, sundayBatchMix, load = 1.5, arrivalSeconds = 15))
        expectThat(run.packing.ratioToOffline).isGreaterThanOrEqualTo(TARGET_RATIO)
    }

    private companion object {
        /** Decision target of section 2.3. */
        const val TARGET_RATIO = 0.95
    }
}
