package org.anvilbarrow.kernel.jobs

import java.time.Duration

/**
 * Decides when a caller that is refused because the store does not answer should come back.
 *
 * It answers outages of seconds. Callers try a few times, so a caller whose job can bear it waits about as long as the
 * outage has lasted, and its tries reach past the end of the outage; one whose job would be late by then comes back
 * after the shortest time.
 */
internal object ReturnTime {
    /** Shortest time; the header that tells it counts whole seconds. */
    val SHORTEST: Duration = Duration.ofSeconds(1)

    /** Longest time: an outage that ends is used soon after. */
    val LONGEST: Duration = Duration.ofSeconds(4)

    /** Part of the time that a job can wait which one try may use. */
    private const val TRIES = 3L

    /** Returns the time for a job that can wait for [slack] after the store has not answered for [stalled]. */
    fun after(
        stalled: Duration,
        slack: Duration,
    ): Duration = minOf(stalled, slack.dividedBy(TRIES)).coerceIn(SHORTEST, LONGEST)
}
