package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.runtimes.UpstreamSpeed
import java.time.Duration
import java.time.Instant
import kotlin.math.ceil
import kotlin.math.ln

/**
 * Decides what a step can do without, by how long it can wait and still meet the latency objective of its job.
 *
 * Designed for pools whose upstreams differ in speed and are nearly full: steps with much time leave scarce and fast
 * upstreams, and calls to the advice service, to those with little.
 */
internal class StepLaxity(
    private val step: StepRun,
    rank: Rank,
    now: Instant,
    private val limits: CellLimits,
) {
    /** Time that [step] can wait if it then runs on an upstream of average speed. */
    private val laxity: Duration =
        Duration.between(now, rank.deadline).minusMillis(step.job.remainingCriticalPath(step.ref.step))

    /** True if [step] leaves upstreams to waiting steps of higher priority. */
    val yieldsCapacity: Boolean get() = laxity > limits.minLaxityToYield

    /** Slowest speed level that leaves [step] enough of its laxity, or null if it needs the fastest upstreams. */
    val slowestTolerated: Int?
        get() {
            val spare = laxity.minus(LAXITY_RESERVE)
            if (step.spec.gang || spare <= Duration.ZERO) return null
            return slowestWithin(spare.toMillis() * MAX_LAXITY_SHARE)
        }

    /** Slowest speed level at which [step] still ends in time if it starts now. */
    val slowestInTime: Int get() = slowestWithin(laxity.toMillis().toDouble())

    /**
     * How long [step] waits until it renews the tickets that it has just received.
     *
     * In a full cell the tickets of steps with time to spare lapse again and again before there is room for them, and
     * their calls delay those for urgent steps.
     */
    val renewalPause: Duration
        get() {
            val spare = laxity.minus(limits.minLaxityToYield.dividedBy(2))
            if (step.spec.gang || spare <= Duration.ZERO) return Duration.ZERO
            val pause = Duration.ofMillis((spare.toMillis() * limits.ticketRenewalLaxityShare).toLong())
            return minOf(pause, limits.maxTicketRenewalPause)
        }

    /** Returns the slowest level at which the step takes at most [extraMillis] longer than at the average speed. */
    private fun slowestWithin(extraMillis: Double): Int {
        val expected =
            step.expected
                .toMillis()
                .coerceAtLeast(1)
                .toDouble()
        val longest = expected + extraMillis
        if (longest <= 0) return Int.MAX_VALUE
        return ceil(ln(expected / longest) / ln(UpstreamSpeed.LEVEL_RATIO)).toInt()
    }

    private companion object {
        /** Part of the laxity that is not spent on slow upstreams: the time for advice, orders and reports. */
        val LAXITY_RESERVE: Duration = Duration.ofSeconds(1)

        /** Share of the rest that may go to a slow upstream; what is left is for waiting and for stragglers. */
        const val MAX_LAXITY_SHARE = 0.5
    }
}
