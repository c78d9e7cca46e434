package org.anvilbarrow.kernel.jobs

import java.time.Duration
import java.time.Instant

/**
 * Counts of pending jobs and unconfirmed starts for the metrics thread.
 *
 * They are taken on the control thread, as iterating over its maps from another thread may fail.
 */
internal class PendingGauges(
    private val state: CellState,
) {
    @Volatile
    var jobs = PendingCount(emptySequence())
        private set

    /** Runs that were ordered and that no upstream has confirmed. */
    @Volatile
    var unconfirmedStarts = 0
        private set
    private var nextCountAt: Instant = Instant.MIN

    fun tick() {
        if (state.now.isBefore(nextCountAt)) return
        nextCountAt = state.now.plus(COUNT_INTERVAL)
        jobs = PendingCount(state.jobs.values.asSequence())
        unconfirmedStarts =
            state.upstreams.values.sumOf { upstream -> upstream.runs.values.count { !it.isStartAnswered } }
    }

    private companion object {
        /** Limits the cost of counting up to 20,000 jobs; metrics are read less often. */
        val COUNT_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
