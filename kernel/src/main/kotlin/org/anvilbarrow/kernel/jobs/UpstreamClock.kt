package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/** The clock of one incarnation of an upstream, which starts at 0 and may run slow. */
internal class UpstreamClock {
    private var millis = 0L
    private var readAt: Instant = Instant.MIN

    /** Lower bound of the time at which the clock was 0. A clock that runs slow raises it over time. */
    private var startedAfter: Instant = Instant.MIN

    /** The answer to the request that was sent at [sentAt] arrived at [now] with the time [clockMillis]. */
    fun read(
        clockMillis: Long,
        sentAt: Instant,
        now: Instant,
    ) {
        millis = clockMillis
        readAt = now
        startedAfter = maxOf(startedAfter, sentAt.minusMillis(clockMillis))
    }

    /** Returns a lower bound of the clock at [now]. */
    fun at(now: Instant): Long = millis + Duration.between(readAt, now).toMillis()

    /** Returns a lower bound of the time at which the upstream sent its last answer. */
    fun lastAnswerSentAfter(): Instant = startedAfter.plusMillis(millis)
}
