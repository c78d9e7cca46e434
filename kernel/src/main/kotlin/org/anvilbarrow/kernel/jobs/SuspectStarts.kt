package org.anvilbarrow.kernel.jobs

/**
 * Lets one suspect at a time start on each upstream.
 *
 * If several start orders were unanswered when an upstream crashes, none of them would prove anything.
 */
internal class SuspectStarts {
    /** Runs whose check or start order is under way, by upstream. */
    private val underWay = HashMap<Upstream, Run>()

    /** True if the upstream of a suspect may be checked and get its start order now. */
    fun mayBegin(upstream: Upstream): Boolean = upstream !in underWay && !upstream.hasOpenStart

    /** The upstream of [run] is being checked, and gets the start order after that. */
    fun begun(run: Run) {
        underWay[run.upstream] = run
    }

    /** The check or start order of [run] is answered or given up. Returns the suspect that may start next, if any. */
    fun ended(run: Run): Run? {
        if (!underWay.remove(run.upstream, run)) return null
        return unsent(run.upstream).firstOrNull { it !== run }
    }

    /** Returns the runs of suspects on [upstream] for which no order was sent, by age. */
    fun unsent(upstream: Upstream): List<Run> =
        upstream.runs.values
            .filter { it.isSuspect && !it.mayHaveStarted && !it.orderInFlight }
            .sortedBy { it.number }
}
