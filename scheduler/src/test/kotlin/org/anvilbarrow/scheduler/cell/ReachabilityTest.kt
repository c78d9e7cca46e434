package org.anvilbarrow.scheduler.cell

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Instant

/** A process must neither hold callers that it cannot serve nor send them away during a takeover. */
class ReachabilityTest {
    @ParameterizedTest
    @CsvSource(
        "true, true, 2000, false",
        "true, false, 5000, false",
        // The store will name the next owner.
        "false, true, 5000, false",
        // A takeover may still be under way.
        "false, false, 1000, false",
        "false, false, 2000, true",
    )
    fun `a process is cut off if it has reached neither owner nor store for longer than a takeover`(
        reachesOwner: Boolean,
        readsStore: Boolean,
        millis: Long,
        cutOff: Boolean,
    ) {
        val start = Instant.ofEpochSecond(100)
        val reachability = Reachability(1)
        reachability.review(0, reachesOwner, readsStore, start)
        reachability.review(0, reachesOwner, readsStore, start.plusMillis(millis))
        expectThat(reachability.isCutOff(0)).isEqualTo(cutOff)
    }

    @Test
    fun `a process that reaches the owner again is not cut off`() {
        val start = Instant.ofEpochSecond(100)
        val reachability = Reachability(1)
        reachability.review(0, reachesOwner = false, readsStore = false, start)
        reachability.review(0, reachesOwner = false, readsStore = false, start.plusSeconds(5))
        reachability.review(0, reachesOwner = true, readsStore = false, start.plusSeconds(6))
        expectThat(reachability.isCutOff(0)).isEqualTo(false)
    }
}
