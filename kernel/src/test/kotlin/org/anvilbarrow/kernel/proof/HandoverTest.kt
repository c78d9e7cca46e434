package org.anvilbarrow.kernel.proof

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a renewal that overtakes the release of its lease and keeps the next owner out for a lease. */
internal class HandoverTest {
    @ParameterizedTest
    @MethodSource("plans")
    fun `a shard that is handed back serves requests at once`(plan: Plan) = expectNoViolation(World(plan))

    companion object {
        /** The plans that jqwik shrank to with its seeds 424242 and 434343. */
        @JvmStatic
        fun plans(): List<Plan> =
            listOf(
                Plan(
                    seed = 1,
                    schedulers = 3,
                    upstreams = 6,
                    regions = 2,
                    faults = listOf(TimedFault(8_000, Fault.SchedulerPauses(1, 9_000))),
                ),
                Plan(
                    seed = 1,
                    schedulers = 2,
                    upstreams = 4,
                    faults = listOf(TimedFault(8_000, Fault.SchedulerPauses(0, 8_932))),
                    requestIntervalMillis = 15,
                    copiedPercent = 10,
                ),
            )
    }
}
