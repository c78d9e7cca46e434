package org.anvilbarrow.benchmarks

import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.report.runIdle
import org.anvilbarrow.benchmarks.report.runKernels
import org.anvilbarrow.benchmarks.simulation.Scenario
import org.anvilbarrow.benchmarks.workload.prairieMix
import org.anvilbarrow.benchmarks.workload.tuulivarjoMix
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

/** Guards against more control messages and bytes than the design allows, and against overfilled upstreams. */
class ControlCostTest {
    private val users =
        listOf(
            Scenario(CellShape.TUULIVARJO, tuulivarjoMix, load = 0.8, arrivalSeconds = 10),
            Scenario(CellShape.PRAIRIE, prairieMix, load = 0.8, arrivalSeconds = 10),
        )

    @TestFactory
    fun `a placement below capacity takes few messages and breaks no invariant`(): List<DynamicTest> =
        users.map { scenario ->
            dynamicTest(scenario.mix.name) {
                val run = runKernels(scenario)
                expectThat(run.control)
                    .isNotNull()
                    .get { requestMessagesPerPlacement }
                    .isLessThanOrEqualTo(MESSAGES_PER_PLACEMENT)
                expectThat(run.safety).isNotNull().and {
                    get { overcommits }.isEqualTo(0)
                    get { repeatedStarts }.isEqualTo(0)
                }
            }
        }

    @TestFactory
    fun `control traffic of an idle cell stays within the target on each node`(): List<DynamicTest> =
        listOf(CellShape.TUULIVARJO, CellShape.PRAIRIE).map { shape ->
            dynamicTest(shape.name) {
                val idle = runIdle(shape, tuulivarjoMix, seconds = 10)
                expectThat(idle) {
                    get { schedulerBytesPerSecondMax }.isLessThanOrEqualTo(IDLE_BYTES_PER_SECOND)
                    get { upstreamBytesPerSecondMax }.isLessThanOrEqualTo(IDLE_BYTES_PER_SECOND)
                }
            }
        }
}

/** Section 6 of the design: Place, Placed, Reserve, Reserved and two TaskEnded, and one denied Reserve. */
internal const val MESSAGES_PER_PLACEMENT: Double = 8.0

/** Target of section 2.3. */
internal const val IDLE_BYTES_PER_SECOND: Double = 10_000.0
