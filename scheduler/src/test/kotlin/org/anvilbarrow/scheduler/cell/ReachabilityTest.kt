package org.anvilbarrow.scheduler.cell

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.time.Instant

/** Guards against holding callers that a process cannot serve, and against refusing callers during a takeover. */
class ReachabilityTest {
    private val start = Instant.ofEpochSecond(100)
    private val reachability = Reachability(1)

    @ParameterizedTest
    @CsvSource(
        "true, false, 5000, false",
        // The owner is silent; a takeover through the store is expected.
        "false, true, 5000, false",
        // A takeover may still be under way.
        "false, false, 1000, false",
        // The owner is alive but unreachable, or the store is unreachable too.
        "false, false, 2000, true",
    )
    fun `a process is cut off if the owner is unreachable for longer than a takeover and no new one is expected`(
        isConnected: Boolean,
        expectsOwner: Boolean,
        millis: Long,
        cutOff: Boolean,
    ) {
        reachability.update(0, "a", isConnected, expectsOwner, start)
        reachability.update(0, "a", isConnected, expectsOwner, start.plusMillis(millis))
        expectThat(reachability.isCutOff(0)).isEqualTo(cutOff)
    }

    @Test
    fun `a process that reaches the owner again is not cut off`() {
        reachability.update(0, "a", isConnected = false, expectsOwner = false, start)
        reachability.update(0, "a", isConnected = false, expectsOwner = false, start.plusSeconds(5))
        reachability.update(0, "a", isConnected = true, expectsOwner = false, start.plusSeconds(6))
        expectThat(reachability.isCutOff(0)).isFalse()
    }

    /** Guards against refusing callers while the process is still connecting to a new owner. */
    @Test
    fun `a new owner gets time to be connected`() {
        reachability.update(0, "a", isConnected = false, expectsOwner = true, start)
        reachability.update(0, "b", isConnected = false, expectsOwner = false, start.plusSeconds(5))
        expectThat(reachability.isCutOff(0)).isFalse()
    }
}
