package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.EndedTask
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.RunEnd
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.Resources
import java.time.Duration
import java.time.Instant
import java.util.BitSet

/** Checks the rules on jobs at every start and every acknowledged end, and collects what is broken in the world. */
internal class JobRules(
    private val world: JobWorld,
) {
    private val noted = HashSet<TaskRef>()
    private val cancelledAt = HashMap<JobId, Instant>()

    /** A caller cancels [job]. */
    fun cancelled(job: JobId) {
        cancelledAt.putIfAbsent(job, world.now)
    }

    fun started(
        worker: FakeWorker,
        order: UpstreamOrder.Start,
        used: Resources,
    ) {
        val task = order.task
        if (!used.fitsIn(worker.capacity)) world.violations += "LIMIT: ${worker.id} runs $used at ${world.now}"
        if (task in noted) world.violations += "TWICE: $task starts after its end was acknowledged"
        val elsewhere = world.workers.values.filter { it !== worker && task in it.running }
        if (elsewhere.isNotEmpty()) {
            world.violations +=
                "TWICE: $task runs on ${elsewhere.map { it.id }} and ${worker.id}"
        }
        val spec = world.specs.getValue(task.step.job)
        val missing = spec.steps[task.step.step].dependsOn.filter { !isStepDone(task, it) }
        if (missing.isNotEmpty()) world.violations += "ORDER: $task starts before steps $missing"
        val cancelled = cancelledAt[task.step.job]
        if (cancelled != null &&
            Duration.between(cancelled, world.now) > CANCEL
        ) {
            world.violations += "UNASKED: $task starts after its cancellation"
        }
        if (world.advice != null &&
            !world.isGood(task.step, worker.id)
        ) {
            world.violations += "ROUTE: $task starts on ${worker.id}"
        }
        if (order.payload != spec.payload) world.violations += "UNASKED: $task starts with another payload"
    }

    private val endedDone = HashSet<TaskRef>()

    private fun isStepDone(
        task: TaskRef,
        step: Int,
    ): Boolean {
        val spec = world.specs.getValue(task.step.job).steps[step]
        val ref = task.step.copy(step = step)
        world.workers.values.forEach { worker -> doneEnds(worker) }
        val done = (0 until spec.tasks).count { TaskRef(ref, it) in endedDone }
        return if (spec.gang) done > 0 else done == spec.tasks
    }

    private fun doneEnds(worker: FakeWorker) {
        worker.listedEnds().filter { it.end == RunEnd.DONE }.forEach { endedDone += it.task }
    }

    fun acknowledged(
        worker: FakeWorker,
        ends: List<EndedTask>,
    ) {
        ends.filter { it.end == RunEnd.DONE }.forEach {
            noted += it.task
            endedDone += it.task
            if (!isStored(it.task)) {
                world.violations +=
                    "LOST: ${it.task} ended on ${worker.id}, acknowledged before it was stored"
            }
        }
    }

    private fun isStored(end: TaskRef): Boolean {
        val shard = world.stored()
        val job = shard.jobs.find { it.id == end.step.job }
        val step = job?.progress?.steps?.find { it.occurrence == end.step.occurrence && it.step == end.step.step }
        val isDone = step != null && BitSet.valueOf(step.done).get(end.index)
        return isDone || shard.finished.values.any { group -> group.jobs.any { it.job == end.step.job } }
    }

    private companion object {
        val CANCEL: Duration = Duration.ofSeconds(3)
    }
}
