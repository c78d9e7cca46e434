package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.TaskCrashes
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamIncarnation

/** How certain it is that a task was running on an upstream that crashed. */
internal enum class CrashEvidence {
    /** The upstream had answered the start order or listed the run, or it broke off the connection of the order. */
    PROVEN,

    /**
     * The run may have ended before the crash, while the upstream could not be observed; or the upstream answered
     * immediately before the start order, and then neither the order nor anything else.
     */
    LIKELY,

    /** The order may not have reached the upstream before it crashed. */
    NONE,
}

/** Tasks of one step under which upstreams crashed. */
internal class Suspects(
    val all: Set<Int>,
    /** Those of [all] that share an upstream with no other suspect while they are on probation. */
    val isolated: Set<Int>,
) {
    companion object {
        val NONE = Suspects(emptySet(), emptySet())
    }
}

/** Crashes of upstreams under the tasks of one step; confined to the control thread. */
internal class StepCrashes {
    /** Incarnations that crashed, by task. */
    private val crashed = HashMap<Int, Map<UpstreamIncarnation, CrashEvidence>>()

    /** Incarnations that fell silent while they ran a task, and may have crashed. */
    private val possible = HashMap<Int, Set<UpstreamIncarnation>>()
    private val trials = HashMap<Int, Trial>()

    private class Trial(
        val incarnation: UpstreamIncarnation,
        var evidence: CrashEvidence,
    )

    /** True if tasks may have started under an earlier owner, and upstreams may have crashed under them unseen. */
    var mayHaveMissedCrashes = false

    /** True if no upstream has crashed under any task of the step, as far as is known. */
    val isEmpty: Boolean get() = crashed.isEmpty() && possible.isEmpty()

    /** True if an upstream crashed, or may have crashed, under task [index]. */
    fun isSuspect(index: Int): Boolean = index in crashed || index in possible

    /** Returns those of [tasks] under which upstreams crashed, or may have crashed. */
    fun suspectsAmong(
        tasks: List<Int>,
        crashesBeforeIsolation: Int,
    ): Suspects {
        val suspects = tasks.filterTo(HashSet(), ::isSuspect)
        return Suspects(suspects, suspects.filterTo(HashSet()) { possibleCount(it) >= crashesBeforeIsolation })
    }

    /** True if the start of task [index] has to be stored before its order is sent. */
    fun recordsStart(index: Int): Boolean = mayHaveMissedCrashes || isSuspect(index)

    /** Number of upstreams that crashed when task [index] ran there or was ordered to start there. */
    fun crashCount(index: Int): Int = crashed[index]?.size ?: 0

    /** Number of crashes under task [index] with [evidence] or better. */
    fun crashCount(
        index: Int,
        evidence: CrashEvidence,
    ): Int = crashed[index]?.values?.count { it <= evidence } ?: 0

    /** Number of crashes under task [index], including those that are not certain. */
    fun possibleCount(index: Int): Int = (crashed[index]?.keys.orEmpty() + possible[index].orEmpty()).size

    /** True if it is not certain whether task [index] has reached [count] crashes. */
    fun mayHaveReached(
        index: Int,
        count: Int,
    ): Boolean = index in possible && possibleCount(index) >= count

    fun crashed(
        index: Int,
        incarnation: UpstreamIncarnation,
        evidence: CrashEvidence,
    ) {
        rebut(index, incarnation)
        crashed.merge(index, mapOf(incarnation to evidence)) { earlier, new -> new + earlier }
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
        trials[index] = Trial(incarnation, CrashEvidence.NONE)
    }

    /** Records what a crash of the upstream of the trial of task [index] would prove; returns true if that is news. */
    fun trialAdvanced(
        index: Int,
        evidence: CrashEvidence,
    ): Boolean {
        val trial = trials[index]?.takeIf { evidence < it.evidence } ?: return false
        trial.evidence = evidence
        return true
    }

    /** Returns true if task [index] had a trial. */
    fun endTrial(index: Int): Boolean = trials.remove(index) != null

    /** Forgets the crashes under task [index]; returns true if there were any. */
    fun clear(index: Int): Boolean {
        possible -= index
        trials -= index
        return crashed.remove(index) != null
    }

    /** Returns what is stored of the tasks of [step]. */
    fun stored(step: StepRun): List<TaskCrashes> =
        (crashed.keys + trials.keys).sorted().map { index ->
            val trial = trials[index]
            TaskCrashes(
                TaskRef(step.ref, index),
                incarnations(index, CrashEvidence.PROVEN),
                trial?.incarnation,
                incarnations(index, CrashEvidence.LIKELY),
                incarnations(index, CrashEvidence.NONE),
                trialProven = trial?.evidence == CrashEvidence.PROVEN,
                trialLikely = trial?.evidence == CrashEvidence.LIKELY,
            )
        }

    private fun incarnations(
        index: Int,
        evidence: CrashEvidence,
    ): Set<UpstreamIncarnation> = crashed[index].orEmpty().filterValues { it == evidence }.keys

    fun restore(record: TaskCrashes) {
        val index = record.task.index
        record.crashed.forEach { crashed(index, it, CrashEvidence.PROVEN) }
        record.likely.forEach { crashed(index, it, CrashEvidence.LIKELY) }
        record.unproven.forEach { crashed(index, it, CrashEvidence.NONE) }
        record.trial?.let { trials[index] = Trial(it, evidenceOfTrial(record)) }
    }

    companion object {
        /** Returns what a crash of the upstream of the trial in [record] proves. */
        fun evidenceOfTrial(record: TaskCrashes): CrashEvidence =
            when {
                record.trialProven -> CrashEvidence.PROVEN
                record.trialLikely -> CrashEvidence.LIKELY
                else -> CrashEvidence.NONE
            }
    }
}
