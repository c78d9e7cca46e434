package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import java.time.Duration
import kotlin.random.Random

/** A random day on which half of the upstreams restart and are cut off 2 s later, with takeovers and late orders. */
internal class RandomRestartDay(
    seed: Int,
) {
    private val random = Random(seed)
    private val submissions = HashMap<JobId, Long>()
    val world = JobWorld(workers = 12, seed = seed)

    /** Plays the day, and calls [check] ten times a second with the number of accepted jobs that have not started. */
    fun play(check: (waiting: Int) -> Unit = {}) {
        world.lateShare = random.nextDouble(0.1)
        world.run(Duration.ofSeconds(1))
        repeat(ROUNDS) { scheduleFaults(ROUND.multipliedBy(it.toLong()).plusSeconds(2)) }
        repeat(TRAFFIC_TENTHS) { index ->
            if (index % 2 == 0) submissions[JobId("a$index")] = world.submit("a$index", randomStep())
            world.run(Duration.ofMillis(100))
            check(waiting())
        }
        world.run(Duration.ofSeconds(60))
    }

    private fun scheduleFaults(restartAfter: Duration) {
        val half = world.workers.values.take(world.workers.size / 2)
        val cutAfter = restartAfter.plusMillis(2_600)
        world.after(restartAfter) { half.forEach { if (!it.isDown) world.losePower(it, DARK_TIME) } }
        world.after(cutAfter) { world.unreachable += half.map { it.id } }
        world.after(cutAfter.plusSeconds(9)) { world.unreachable -= half.map { it.id }.toSet() }
        val takeOverAfter = restartAfter.plusMillis(random.nextLong(500, 9_000))
        world.after(takeOverAfter) { if (random.nextBoolean()) world.takeOver() }
    }

    private fun waiting(): Int =
        submissions.count { (job, call) -> world.answers[call] == JobAnswer.Accepted && job !in world.startedJobs }

    private fun randomStep() =
        step(
            random.nextInt(1, 4),
            cpuMillicores = random.nextInt(2_000, 9_000),
            millis = if (random.nextInt(10) < 3) 8_000 else random.nextLong(400, 1_600),
        )

    private companion object {
        const val ROUNDS = 3
        val ROUND: Duration = Duration.ofSeconds(14)
        val DARK_TIME: Duration = Duration.ofMillis(600)

        /** Length of the traffic, in tenths of a second. */
        const val TRAFFIC_TENTHS = 460
    }
}
