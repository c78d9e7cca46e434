package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.TaskCrashes
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamIncarnation

/** Crashes of upstreams under the tasks of one step; confined to the control thread. */
internal class StepCrashes {
    private val confirmed = HashMap<Int, Set<UpstreamIncarnation>>()

    /** Incarnations that fell silent while they ran a task, and may have crashed. */
    private val possible = HashMap<Int, Set<UpstreamIncarnation>>()
    private val trials = HashMap<Int, UpstreamIncarnation>()

    /** True if tasks may have started under an earlier owner, and upstreams may have crashed under them unseen. */
    var mayHaveMissedCrashes = false

    /** True if no upstream has crashed under any task of the step, as far as is known. */
    val isEmpty: Boolean get() = confirmed.isEmpty() && possible.isEmpty()

    /** True if an upstream crashed, or may have crashed, under task [index]. */
    fun isSuspect(index: Int): Boolean = index in confirmed || index in possible

    /** True if the start of task [index] has to be stored before its order is sent. */
    fun recordsStart(index: Int): Boolean = mayHaveMissedCrashes || isSuspect(index)

    fun confirmedCount(index: Int): Int = confirmed[index]?.size ?: 0

    /** Number of crashes under task [index], including those that are not certain. */
    fun possibleCount(index: Int): Int = (confirmed[index].orEmpty() + possible[index].orEmpty()).size

    /** True if it is not certain whether task [index] has reached [count] crashes. */
    fun mayHaveReached(
        index: Int,
        count: Int,
    ): Boolean = index in possible && possibleCount(index) >= count

    fun confirm(
        index: Int,
        incarnation: UpstreamIncarnation,
    ) {
        rebut(index, incarnation)
        confirmed.merge(index, setOf(incarnation), Set<UpstreamIncarnation>::plus)
    }

    fun suspect(
        index: Int,
        incarnation: UpstreamIncarnation,
    ) {
        possible.merge(index, setOf(incarnation), Set<UpstreamIncarnation>::plus)
    }

    /** Records that [incarnation] did not crash. */
    fun rebut(
        index: Int,
        incarnation: UpstreamIncarnation,
    ) {
        possible.computeIfPresent(index) { _, crashes -> (crashes - incarnation).takeIf { it.isNotEmpty() } }
    }

    /** Records that the next run of the suspect [index] is to start on [incarnation]. */
    fun beginTrial(
        index: Int,
        incarnation: UpstreamIncarnation,
    ) {
        trials[index] = incarnation
    }

    /** Returns true if task [index] had a trial. */
    fun endTrial(index: Int): Boolean = trials.remove(index) != null

    /** Forgets the crashes under task [index]; returns true if there were any. */
    fun clear(index: Int): Boolean {
        possible -= index
        trials -= index
        return confirmed.remove(index) != null
    }

    /** Returns what is stored of the tasks of [step]. */
    fun stored(step: StepRun): List<TaskCrashes> =
        (confirmed.keys + trials.keys).sorted().map {
            TaskCrashes(TaskRef(step.ref, it), confirmed[it].orEmpty(), trials[it])
        }

    fun restore(record: TaskCrashes) {
        if (record.crashed.isNotEmpty()) confirmed[record.task.index] = record.crashed
        record.trial?.let { trials[record.task.index] = it }
    }
}
