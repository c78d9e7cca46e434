package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/**
 * A day like `deploy/days/recut.toml`: half of the upstreams restart under their ids three times, each time without
 * an answer for 0.6 s, and are cut off for 9 s 2 s after their return.
 *
 * [share] of the orders to these upstreams to which [mayBeLate] applies take up to 3 s longer.
 */
internal class RecutDay(
    seed: Int,
    private val share: Double = 0.1,
    private val mayBeLate: (UpstreamOrder) -> Boolean,
) {
    private val random = Random(seed)
    val world = JobWorld(workers = 6, seed = seed, limits = CellLimits(retention = Duration.ofMinutes(10)))
    private val restarting = world.workers.values.take(3)
    private val submittedAt = LinkedHashMap<JobId, Instant>()

    /** Counts of pending jobs that were below half of the jobs that had waited for 5 s. */
    val wrongCounts = ArrayList<String>()

    /** Jobs that have not ended. */
    val openJobs: Set<JobId> get() = submittedAt.keys - world.finished().map { it.job }.toSet()

    /** Plays the day, and then lets the jobs end. */
    fun play() {
        listOf(5_000L, 19_000L, 33_000L).forEach(::scheduleRestart)
        val ids = restarting.map { it.id }.toSet()
        world.delayOf = { order ->
            val isLate = order.upstream in ids && mayBeLate(order) && random.nextDouble() < share
            if (isLate) Duration.ofMillis(random.nextLong(MAX_DELAY_MILLIS)) else null
        }
        world.run(Duration.ofSeconds(1))
        repeat(SUBMISSIONS) {
            submit("job$it")
            world.run(Duration.ofMillis(SUBMIT_INTERVAL_MILLIS))
            if (it % SUBMISSIONS_PER_CHECK == 0) checkPending()
        }
        world.delayOf = { null }
        world.run(Duration.ofSeconds(DRAIN_SECONDS))
    }

    private fun scheduleRestart(atMillis: Long) {
        restarting.forEach { worker ->
            world.after(Duration.ofMillis(atMillis)) { world.losePower(worker, Duration.ofMillis(DARK_MILLIS)) }
            world.after(Duration.ofMillis(atMillis + CUT_AFTER_MILLIS)) { world.unreachable += worker.id }
            world.after(Duration.ofMillis(atMillis + CUT_AFTER_MILLIS + CUT_MILLIS)) { world.unreachable -= worker.id }
        }
    }

    private fun submit(id: String) {
        val millis = if (random.nextDouble() < LONG_SHARE) LONG_TASK_MILLIS else random.nextLong(50, 900)
        submittedAt[JobId(id)] = world.now
        world.submit(id, step(random.nextInt(1, 3), cpuMillicores = random.nextInt(1_000, 6_000), millis = millis))
    }

    private fun checkPending() {
        val reported = (world.answers[world.ask(JobRequest.Pending("q"))] as JobAnswer.Count).pending
        val waiting =
            submittedAt.count { (job, at) ->
                job !in world.startedJobs && Duration.between(at, world.now) > VISIBLE
            }
        if (reported * 2 < waiting) wrongCounts += "$reported of $waiting at ${world.now}"
    }

    private companion object {
        const val SUBMISSIONS = 300
        const val SUBMIT_INTERVAL_MILLIS = 150L
        const val SUBMISSIONS_PER_CHECK = 3
        const val DRAIN_SECONDS = 120L
        const val MAX_DELAY_MILLIS = 3_000L
        const val DARK_MILLIS = 600L
        const val CUT_AFTER_MILLIS = 2_600L
        const val CUT_MILLIS = 9_000L
        const val LONG_SHARE = 0.2
        const val LONG_TASK_MILLIS = 9_000L

        /** Time after which a job must be counted: `visible_ms` and 2 s. */
        val VISIBLE: Duration = Duration.ofSeconds(5)
    }
}
