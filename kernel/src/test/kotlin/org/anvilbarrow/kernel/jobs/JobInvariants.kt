package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.WorkspaceDirectory
import org.anvilbarrow.protocol.jobs.EndedTask
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.RunEnd
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant
import java.util.BitSet

/** Checks the invariants of jobs at every start and every acknowledged end, and adds violations to [world]. */
internal class JobInvariants(
    private val world: JobWorld,
) {
    private val acknowledgedDone = HashSet<TaskRef>()
    private val cancelledAt = HashMap<JobId, Instant>()

    /** Highest run number that was started, by task. */
    private val lastStarted = HashMap<TaskRef, Long>()

    /** Notes that a caller cancels [job]. */
    fun cancelled(job: JobId) {
        cancelledAt.putIfAbsent(job, world.now)
    }

    fun started(
        worker: FakeWorker,
        order: UpstreamOrder.Start,
        used: Resources,
    ) {
        val task = order.task
        if (!fits(worker, used)) world.violations += "over capacity: ${worker.id} runs $used at ${world.now}"
        if (task in acknowledgedDone) world.violations += "done task restarted: $task after its end was acknowledged"
        lastStarted.merge(task, order.run, ::maxOf)
        val elsewhere = world.workers.values.filter { it !== worker && task in it.running }
        if (elsewhere.isNotEmpty()) world.violations += "two runs: $task on ${elsewhere.map { it.id }} and ${worker.id}"
        val spec = world.specs.getValue(task.step.job)
        val missing = spec.steps[task.step.step].dependsOn.filter { !isStepDone(task, it) }
        if (missing.isNotEmpty()) world.violations += "dependency violated: $task starts before steps $missing"
        val cancelled = cancelledAt[task.step.job]
        if (cancelled != null &&
            Duration.between(cancelled, world.now) > CANCEL_DEADLINE
        ) {
            world.violations += "cancelled task started: $task"
        }
        if (world.advice != null &&
            !world.isAllowed(task.step, worker.id)
        ) {
            world.violations += "upstream not allowed: $task starts on ${worker.id}"
        }
        checkLimit(task)
        checkCrashes(task)
        if (order.payload != spec.payload) world.violations += "payload differs: $task"
    }

    private class EarlierCapacity(
        val capacity: Resources,
        val until: Instant,
    )

    private val earlierCapacities = HashMap<UpstreamId, List<EarlierCapacity>>()

    /** Notes that the capacity of [worker] is about to change. */
    fun resized(worker: FakeWorker) {
        earlierCapacities.merge(
            worker.id,
            listOf(EarlierCapacity(worker.capacity, world.now)),
            List<EarlierCapacity>::plus,
        )
    }

    /** A reduced capacity counts only after [CAPACITY_APPLY]. */
    private fun fits(
        worker: FakeWorker,
        used: Resources,
    ): Boolean =
        used.fitsIn(worker.capacity) ||
            earlierCapacities[worker.id].orEmpty().any {
                it.until.plus(CAPACITY_APPLY).isAfter(world.now) && used.fitsIn(it.capacity)
            }

    private val crashesUnder = HashMap<TaskRef, Int>()
    private val startsAfterLimit = HashMap<TaskRef, Int>()

    /** Notes that an upstream crashed because of [tasks]. */
    fun crashed(tasks: List<TaskRef>): Unit = tasks.forEach { crashesUnder.merge(it, 1, Int::plus) }

    private fun checkCrashes(task: TaskRef) {
        if ((crashesUnder[task] ?: 0) < MAX_CRASHES) return
        val starts = startsAfterLimit.merge(task, 1, Int::plus) ?: 0
        if (starts >= MAX_STARTS_AFTER_CRASHES) {
            world.violations += "crashing task restarted: $task for the $starts. time after $MAX_CRASHES crashes"
        }
    }

    private class EarlierLimits(
        val directory: WorkspaceDirectory,
        val until: Instant,
    )

    private val earlierLimits = ArrayList<EarlierLimits>()

    /** Notes that the limits of the current version are replaced. */
    fun limitsChange() {
        world.workspaces?.let { earlierLimits += EarlierLimits(it, world.now) }
    }

    /** The highest limit that may be in force counts, with a tenth of it and one task more. */
    private fun checkLimit(task: TaskRef) {
        val workspace = world.workspaceOf[task.step.job] ?: return
        val inForce = earlierLimits.filter { it.until.plus(CONFIG_APPLY).isAfter(world.now) }.map { it.directory }
        val limits = (inForce + listOfNotNull(world.workspaces)).mapNotNull { it[workspace]?.limit }
        val highest = limits.maxOfOrNull { it.cpuMillicores } ?: return
        val used =
            world.workers.values
                .flatMap { it.running.values }
                .filter { world.workspaceOf[it.task.step.job] == workspace }
                .sumOf { it.size.cpuMillicores.toLong() }
        val largest = world.specOf(task).resources.cpuMillicores
        if (used > highest * LIMIT_TOLERANCE + largest) {
            world.violations += "over the limit: $workspace runs $used of $highest millicores at ${world.now}"
        }
    }

    private val listedDone = HashSet<TaskRef>()

    private fun isStepDone(
        task: TaskRef,
        step: Int,
    ): Boolean {
        val spec = world.specs.getValue(task.step.job).steps[step]
        val ref = task.step.copy(step = step)
        world.workers.values.forEach { worker -> recordDoneEnds(worker) }
        val done = (0 until spec.tasks).count { TaskRef(ref, it) in listedDone }
        return if (spec.gang) done > 0 else done == spec.tasks
    }

    private fun recordDoneEnds(worker: FakeWorker) {
        worker.listedEnds().filter { it.end == RunEnd.DONE }.forEach { listedDone += it.task }
    }

    fun acknowledged(
        worker: FakeWorker,
        ends: List<EndedTask>,
    ) {
        ends.filter { it.end == RunEnd.DONE && !worker.hasLapsedSince(it.number) }.forEach {
            val lastRun = lastStarted[it.task] ?: 0
            if (lastRun > it.run && !world.specOf(it.task).longRunning) {
                world.violations += "done task ran again: ${it.task}, run $lastRun after run ${it.run} had ended"
            }
            acknowledgedDone += it.task
            listedDone += it.task
            if (!isStored(it.task)) {
                world.violations +=
                    "end acknowledged before it was stored: ${it.task} on ${worker.id}"
            }
        }
    }

    private fun isStored(end: TaskRef): Boolean {
        val shard = world.stored()
        val job = shard.jobs.find { it.id == end.step.job }
        val steps = job?.progress?.steps.orEmpty()
        val occurrence = steps.filter { it.occurrence == end.step.occurrence }
        val step = occurrence.find { it.step == end.step.step }
        // The record leaves out occurrences that are done, but for the last one that was opened.
        val isClosed = occurrence.isEmpty() && steps.any { it.occurrence > end.step.occurrence }
        val isDone = isClosed || (step != null && BitSet.valueOf(step.done).get(end.index))
        return isDone || shard.finished.values.any { group -> group.jobs.any { it.job == end.step.job } }
    }

    private companion object {
        val CANCEL_DEADLINE: Duration = Duration.ofSeconds(3)
        val CONFIG_APPLY: Duration = Duration.ofSeconds(4)
        const val LIMIT_TOLERANCE = 1.1

        /** Time that the platform allows until a reduced capacity is respected: contact and one heartbeat. */
        val CAPACITY_APPLY: Duration = Duration.ofMillis(5_500)
        const val MAX_CRASHES = 3
        const val MAX_STARTS_AFTER_CRASHES = 3
    }
}
