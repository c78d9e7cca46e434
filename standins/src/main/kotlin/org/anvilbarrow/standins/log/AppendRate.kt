package org.anvilbarrow.standins.log

import java.time.Duration
import java.time.Instant

/** Token bucket of one second's worth of appends, but at least one full append. */
internal class AppendRate(
    private val perSecond: Int,
    startedAt: Instant,
) {
    private val burst = maxOf(perSecond, LogModel.MAX_PAYLOADS).toDouble()
    private var tokens = burst
    private var filledAt = startedAt

    /** Takes [count] tokens and returns zero, or takes none and returns the time until they are there. */
    fun take(
        count: Int,
        now: Instant,
    ): Duration {
        val passed = Duration.between(filledAt, now)
        if (passed > Duration.ZERO) {
            tokens = minOf(burst, tokens + perSecond * passed.toNanos() / NANOS_PER_SECOND)
            filledAt = now
        }
        if (tokens >= count) {
            tokens -= count
            return Duration.ZERO
        }
        return Duration.ofNanos(((count - tokens) / perSecond * NANOS_PER_SECOND).toLong() + 1)
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
