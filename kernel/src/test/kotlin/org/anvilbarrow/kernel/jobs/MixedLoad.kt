package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import java.time.Duration
import java.time.Instant
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.math.sqrt

/** One kind of job of a [MixedLoad]. The sizes are means of log-normal distributions. */
internal class JobKind(
    val queue: QueueConfig,
    val perSecond: Double,
    val tasks: Double,
    val cores: Double,
    val memoryMebibytes: Double,
    val millis: Double,
    val gang: Boolean = false,
)

/** A period in which the arrival rate of one queue is multiplied by [factor]. */
internal class Burst(
    val queue: String,
    val from: Duration,
    val until: Duration,
    val factor: Double,
)

/**
 * Simulates a mix of small urgent jobs, long gangs and batches with much laxity, and counts those that meet their
 * latency objective.
 *
 * The kinds are modelled on a cell that uses 0.84 of its processors, with bursts of one kind for a few seconds.
 */
internal class MixedLoad(
    private val kinds: List<JobKind>,
    private val bursts: List<Burst>,
    workers: Int,
    private val goodShare: Double,
    advice: AdviceTerms?,
    private val seed: Long,
    limits: CellLimits = CellLimits(),
) {
    private class Submitted(
        val kind: JobKind,
        val at: Instant,
        val objective: Duration,
    )

    val world =
        JobWorld(workers, seed.toInt(), advice, goodShare, limits, kinds.map { it.queue.copy(advice = advice) })
    private val random = Random(seed)
    private val jobs = LinkedHashMap<String, Submitted>()

    /** Simulates arrivals for [time], lets the jobs end, and returns the share in time by queue. */
    fun simulate(time: Duration): Map<String, Double> {
        world.run(Duration.ofSeconds(1))
        kinds.forEach { kind -> scheduleNext(kind, world.now, time) }
        world.run(time.plus(Duration.ofSeconds(DRAIN_SECONDS)))
        val ends = world.finished().associate { it.job.value to it }
        return jobs.entries.groupBy { it.value.kind.queue.name }.mapValues { (_, entries) ->
            entries.count { (id, job) ->
                val end = ends[id]
                end?.phase == JobPhase.COMPLETED &&
                    Instant.ofEpochMilli(end.endedAtEpochMillis) <= job.at.plus(job.objective)
            } / entries.size.toDouble()
        }
    }

    private fun scheduleNext(
        kind: JobKind,
        start: Instant,
        time: Duration,
    ) {
        val elapsed = Duration.between(start, world.now)
        if (elapsed > time) return
        val burst = bursts.find { it.queue == kind.queue.name && elapsed >= it.from && elapsed < it.until }
        val rate = kind.perSecond * (burst?.factor ?: 1.0)
        world.after(Duration.ofNanos((-ln(1 - random.nextDouble()) / rate * NANOS_PER_SECOND).toLong())) {
            submit(kind)
            scheduleNext(kind, start, time)
        }
    }

    private fun submit(kind: JobKind) {
        val tasks = draw(kind.tasks, TASK_COUNT_VARIATION).roundToInt().coerceIn(1, (kind.tasks * MAX_TO_MEAN).toInt())
        val cores = draw(kind.cores, SIZE_VARIATION).coerceAtMost(MAX_CORES)
        val memory = draw(kind.memoryMebibytes, SIZE_VARIATION).coerceAtMost(MAX_MEMORY_MEBIBYTES)
        val millis = draw(kind.millis, SIZE_VARIATION).roundToLong()
        val size = Resources((cores * MILLICORES).toInt(), memory.toInt())
        val id = "%016x".format(jobs.size + 1)
        val queue = kind.queue
        val objective = Duration.ofMillis((millis * queue.stretch).toLong()).plus(queue.targetDuration)
        jobs[id] = Submitted(kind, world.now, objective)
        world.submit(id, StepSpec(tasks, size, millis, gang = kind.gang), queue = queue.name)
    }

    private fun draw(
        mean: Double,
        variation: Double,
    ): Double {
        val sigma = sqrt(ln(1 + variation * variation))
        return mean * exp(sigma * random.nextGaussian() - sigma * sigma / 2)
    }

    private companion object {
        const val DRAIN_SECONDS = 30L
        const val NANOS_PER_SECOND = 1e9
        const val MILLICORES = 1_000
        const val TASK_COUNT_VARIATION = 0.7
        const val SIZE_VARIATION = 0.5
        const val MAX_TO_MEAN = 4
        const val MAX_CORES = 47.0
        const val MAX_MEMORY_MEBIBYTES = 170_000.0
    }
}
