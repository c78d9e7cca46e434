package org.anvilbarrow.scheduler.cell

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.time.Instant

/** A process must neither hold callers that it cannot serve nor send them away during a takeover. */
class ReachabilityTest {
    private val start = Instant.ofEpochSecond(100)
    private val reachability = Reachability(1)

    @ParameterizedTest
    @CsvSource(
        "true, false, 5000, false",
        // The owner is silent, and the store will name the next one.
        "false, true, 5000, false",
        // A takeover may still be under way.
        "false, false, 1000, false",
        // The owner lives and is out of reach, or the store is out of reach too.
        "false, false, 2000, true",
    )
    fun `a process is cut off if it has not reached the owner for longer than a takeover and expects no other`(
        isConnected: Boolean,
        expectsOwner: Boolean,
        millis: Long,
        cutOff: Boolean,
    ) {
        reachability.review(0, "a", isConnected, expectsOwner, start)
        reachability.review(0, "a", isConnected, expectsOwner, start.plusMillis(millis))
        expectThat(reachability.isCutOff(0)).isEqualTo(cutOff)
    }

    @Test
    fun `a process that reaches the owner again is not cut off`() {
        reachability.review(0, "a", isConnected = false, expectsOwner = false, start)
        reachability.review(0, "a", isConnected = false, expectsOwner = false, start.plusSeconds(5))
        reachability.review(0, "a", isConnected = true, expectsOwner = false, start.plusSeconds(6))
        expectThat(reachability.isCutOff(0)).isFalse()
    }

    /** Guards against callers sent away while their process connects to an owner that has just been named. */
    @Test
    fun `a new owner is given time to be connected`() {
        reachability.review(0, "a", isConnected = false, expectsOwner = true, start)
        reachability.review(0, "b", isConnected = false, expectsOwner = false, start.plusSeconds(5))
        expectThat(reachability.isCutOff(0)).isFalse()
    }
}
