package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant

/**
 * Spreads calls to the advice service over the processes of the cell.
 *
 * The advice service serves one call at a time for each calling VM. A third of the helpers make only short calls, so
 * that the call for an urgent step (about 15 ms) does not wait behind that for a gang step (over 1 s). In a large cell,
 * a few make only the shortest calls, as those for batches (about 250 ms) keep all others busy under high load.
 */
internal class AdviceCallBalancer(
    private val limits: CellLimits,
) {
    private class OpenCall(
        val step: StepRun,
        val named: List<UpstreamId>,
        val helper: Helper,
        val cost: Duration,
        val timeoutAt: Instant,
    )

    private class Helper(
        val name: String,
    ) {
        var backlog: Duration = Duration.ZERO
        var calls = 0
    }

    private var helpers: List<Helper> = emptyList()
    private val open = HashMap<Long, OpenCall>()
    private var lastCall = 0L

    /** Replaces the helpers. Open calls of removed helpers end through [expired]. */
    fun setHelpers(names: List<String>) {
        val known = helpers.associateBy { it.name }
        helpers = names.sorted().map { known[it] ?: Helper(it) }
    }

    class Assignment(
        val call: Long,
        val helper: String,
        val timeout: Duration,
    )

    /** Assigns a call of duration [cost] to the helper with the least backlog. Returns null if all queues are full. */
    fun assign(
        step: StepRun,
        named: List<UpstreamId>,
        cost: Duration,
        now: Instant,
    ): Assignment? {
        val helper = choose(cost) ?: return null
        val timeout = helper.backlog.plus(cost).plus(limits.adviceTimeout)
        helper.backlog = helper.backlog.plus(cost)
        helper.calls++
        lastCall++
        open[lastCall] = OpenCall(step, named, helper, cost, now.plus(timeout))
        step.advice.call = lastCall
        return Assignment(lastCall, helper.name, timeout)
    }

    /** True if a helper for long calls is idle, besides those that are left to the first requests of steps. */
    fun hasLongSlot(): Boolean {
        val eligible = helpersForLongCalls()
        return eligible.count { it.calls == 0 } > (eligible.size * limits.firstAdviceShare).toInt()
    }

    class Ended(
        val step: StepRun,
        val named: List<UpstreamId>,
    )

    /** Removes [call] from its helper. Returns null if it has timed out before. */
    fun ended(call: Long): Ended? {
        val openCall = open.remove(call) ?: return null
        openCall.helper.backlog = openCall.helper.backlog.minus(openCall.cost)
        openCall.helper.calls--
        if (openCall.step.advice.call == call) openCall.step.advice.call = null
        return Ended(openCall.step, openCall.named)
    }

    /** Returns the calls past their timeout, which count as failed. */
    fun expired(now: Instant): List<Long> = open.filterValues { it.timeoutAt.isBefore(now) }.keys.toList()

    private fun choose(cost: Duration): Helper? {
        val eligible =
            when {
                cost > limits.longAdvice -> helpersForLongCalls()
                cost > limits.urgentAdvice -> helpersBeyond(limits.urgentAdviceShare)
                else -> helpers
            }
        return eligible.filter { it.calls < limits.maxAdviceCallsPerHelper }.minByOrNull { it.backlog }
    }

    private fun helpersForLongCalls(): List<Helper> = helpersBeyond(limits.shortAdviceShare)

    /** Returns the helpers without the [reserved] share of them. */
    private fun helpersBeyond(reserved: Double): List<Helper> = helpers.drop((helpers.size * reserved).toInt())
}
