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

/** One kind of job of a [MixedLoad]; sizes are drawn from log-normal distributions around the means. */
internal class JobKind(
    val queue: QueueConfig,
    val perSecond: Double,
    val tasks: Double,
    val cores: Double,
    val memoryMebibytes: Double,
    val millis: Double,
    val gang: Boolean = false,
)

/** A time in which the jobs of one queue come [factor] times as often. */
internal class Burst(
    val queue: String,
    val from: Duration,
    val until: Duration,
    val factor: Double,
)

/**
 * Plays urgent small jobs, long gangs and patient batches together and counts which of them meet their objective.
 *
 * The kinds have the shape of the load of a cell at 0.84 of its processors, with bursts of one kind for a few seconds.
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

    /** Plays [time] of arrivals and lets the work end; returns the share of each queue's jobs that were in time. */
    fun play(time: Duration): Map<String, Double> {
        world.run(Duration.ofSeconds(1))
        kinds.forEach { kind -> next(kind, world.now, time) }
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

    private fun next(
        kind: JobKind,
        start: Instant,
        time: Duration,
    ) {
        val played = Duration.between(start, world.now)
        if (played > time) return
        val burst = bursts.find { it.queue == kind.queue.name && played >= it.from && played < it.until }
        val rate = kind.perSecond * (burst?.factor ?: 1.0)
        world.after(Duration.ofNanos((-ln(1 - random.nextDouble()) / rate * NANOS).toLong())) {
            submit(kind)
            next(kind, start, time)
        }
    }

    private fun submit(kind: JobKind) {
        val tasks = draw(kind.tasks, WIDTH_SPREAD).roundToInt().coerceIn(1, (kind.tasks * MOST).toInt())
        val cores = draw(kind.cores, SIZE_SPREAD).coerceAtMost(MOST_CORES)
        val memory = draw(kind.memoryMebibytes, SIZE_SPREAD).coerceAtMost(MOST_MEMORY)
        val millis = draw(kind.millis, SIZE_SPREAD).roundToLong()
        val size = Resources((cores * MILLI).toInt(), memory.toInt())
        val id = "%016x".format(jobs.size + 1)
        val queue = kind.queue
        val objective = Duration.ofMillis((millis * queue.stretch).toLong()).plus(queue.targetDuration)
        jobs[id] = Submitted(kind, world.now, objective)
        world.submit(id, StepSpec(tasks, size, millis, gang = kind.gang), queue = queue.name)
    }

    private fun draw(
        mean: Double,
        spread: Double,
    ): Double {
        val sigma = sqrt(ln(1 + spread * spread))
        return mean * exp(sigma * random.nextGaussian() - sigma * sigma / 2)
    }

    private companion object {
        const val DRAIN_SECONDS = 30L
        const val NANOS = 1e9
        const val MILLI = 1_000
        const val WIDTH_SPREAD = 0.7
        const val SIZE_SPREAD = 0.5
        const val MOST = 4
        const val MOST_CORES = 47.0
        const val MOST_MEMORY = 170_000.0
    }
}
