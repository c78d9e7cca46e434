package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import java.time.Duration

/**
 * Lets the slots that become free gather for a gang that has waited long.
 *
 * Without it single tasks take every slot as it becomes free: at 1.5 times the capacity 15 of 86 gangs started.
 */
internal object GangHold {
    /** How long slots are held each time; a gang that still does not fit must not stop everything else for good. */
    private val HOLD: Duration = Duration.ofSeconds(2)

    /** Time from one hold for a gang to the next. */
    private val PERIOD: Duration = Duration.ofSeconds(10)

    /** Returns the workload of the gang for which slots are held now, or null. Urgent work is not held up by it. */
    fun workload(turn: Turn): String? {
        val home = turn.state.home
        return home.queue.lanes.entries
            .firstOrNull { (workload, lane) ->
                val tasks =
                    turn.state.catalog.workloads[workload]
                        ?.spec
                        ?.tasks ?: 1
                tasks > 1 && isHeld(turn, home.requests.getValue(lane.first()))
            }?.key
    }

    private fun isHeld(
        turn: Turn,
        request: HomeRequest,
    ): Boolean {
        val waited = Duration.between(request.queuedAt, turn.now)
        val overdue = waited - turn.limits.gangPatience
        return !overdue.isNegative && overdue.toMillis() % PERIOD.toMillis() < HOLD.toMillis()
    }
}
