package org.anvilbarrow.kernel.jobs

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty

/** Guards against orders for an earlier incarnation of an upstream that take effect on the later one. */
class RestartDayTest {
    /** The days on which the fault was first seen, and some more; `-Drestart-days=400` plays more. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no invariant is violated while upstreams restart and are cut off`(seed: Int) {
        val day = RandomRestartDay(seed)
        day.play()
        expectThat(day.world.violations).isEmpty()
    }

    private companion object {
        const val DAYS = 40

        @JvmStatic
        fun seeds(): List<Int> =
            (listOf(16, 139, 364, 370, 385) + (1..Integer.getInteger("restart-days", DAYS))).distinct()
    }
}
