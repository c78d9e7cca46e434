package org.anvilbarrow.kernel.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.RunningTask

/** Capacity that is set aside for one task. */
internal data class Commitment(
    val task: TaskId,
    val resources: Resources,
    /** The task starts before this time of the upstream's clock, or never. */
    val startByUpstreamMillis: Long,
    /** Workload of the task, or null if another scheduler placed it. */
    val workload: String? = null,
)

/** Exact committed capacity of one upstream. */
internal data class Ledger(
    val commitments: PersistentMap<TaskId, Commitment> = persistentMapOf(),
    val committed: Resources = Resources.NONE,
    /** Number of committed tasks of each workload. */
    val tasksByWorkload: PersistentMap<String, Int> = persistentMapOf(),
) {
    fun commit(commitment: Commitment): Ledger {
        check(commitment.task !in commitments) { "task ${commitment.task} is committed twice" }
        return Ledger(
            commitments.put(commitment.task, commitment),
            committed + commitment.resources,
            tasksByWorkload.adding(commitment.workload, 1),
        )
    }

    fun release(task: TaskId): Ledger {
        val commitment = commitments[task] ?: return this
        return Ledger(
            commitments.remove(task),
            committed - commitment.resources,
            tasksByWorkload.adding(commitment.workload, -1),
        )
    }

    /**
     * Brings the ledger in line with the tasks that ran when the upstream's clock showed [upstreamMillis].
     *
     * A commitment that is not running is kept only while its task may still start.
     */
    fun reconcile(
        upstreamMillis: Long,
        running: List<RunningTask>,
    ): Ledger {
        val runningTasks = running.associateBy { it.task }
        val ended =
            commitments.values.filter { it.task !in runningTasks && it.startByUpstreamMillis < upstreamMillis }
        val found = running.filter { it.task !in commitments }
        val kept = ended.fold(this) { ledger, commitment -> ledger.release(commitment.task) }
        return found.fold(kept) { ledger, task -> ledger.commit(task.adopted(upstreamMillis)) }
    }

    private fun PersistentMap<String, Int>.adding(
        workload: String?,
        count: Int,
    ): PersistentMap<String, Int> {
        if (workload == null) return this
        val sum = (this[workload] ?: 0) + count
        return if (sum == 0) remove(workload) else put(workload, sum)
    }

    private fun RunningTask.adopted(upstreamMillis: Long) = Commitment(task, resources, upstreamMillis)
}
