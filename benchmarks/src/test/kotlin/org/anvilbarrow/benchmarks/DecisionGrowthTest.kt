package org.anvilbarrow.benchmarks

import com.sun.management.ThreadMXBean
import org.anvilbarrow.benchmarks.jmh.KernelFixture
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import java.lang.management.ManagementFactory

/** Guards against decisions whose cost grows faster than the number of upstreams. */
class DecisionGrowthTest {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    @Test
    fun `allocation per placement grows at most with the number of upstreams`() {
        val few = allocatedBytes(KernelFixture(FEW))
        val many = allocatedBytes(KernelFixture(MANY))
        expectThat(many / few).isLessThanOrEqualTo(MANY.toDouble() / FEW)
    }

    private fun allocatedBytes(fixture: KernelFixture): Double {
        repeat(PLACEMENTS) { fixture.place() }
        val before = threads.currentThreadAllocatedBytes
        repeat(PLACEMENTS) { fixture.place() }
        return (threads.currentThreadAllocatedBytes - before).toDouble() / PLACEMENTS
    }

    private companion object {
        const val FEW = 33
        const val MANY = 1_400
        const val PLACEMENTS = 200
    }
}
