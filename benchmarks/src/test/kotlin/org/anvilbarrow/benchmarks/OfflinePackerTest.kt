package org.anvilbarrow.benchmarks

import org.anvilbarrow.benchmarks.baseline.OfflinePacker
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards the reference of the packing target: a weak reference would let weak packing pass. */
class OfflinePackerTest {
    private data class Case(
        val behaviour: String,
        val taskSlots: List<Int>,
        val upstreamSlots: List<Int>,
        val packedSlots: Int,
    )

    private val cases =
        listOf(
            Case("nothing fits without upstreams", listOf(1), emptyList(), 0),
            Case("large tasks go first", listOf(1, 1, 1, 8), listOf(8), 8),
            Case("a task takes the tightest upstream", listOf(3, 5), listOf(8, 3), 8),
            Case("gaps are filled with small tasks", listOf(5, 5, 3, 3, 1), listOf(8, 8), 16),
        )

    @TestFactory
    fun `best fit decreasing`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.behaviour) {
                val tasks = case.taskSlots.map { Resources(slots = it) }
                val packed = OfflinePacker.pack(tasks, case.upstreamSlots.map { Resources(slots = it) })
                expectThat(packed.slots).isEqualTo(case.packedSlots)
            }
        }
}
