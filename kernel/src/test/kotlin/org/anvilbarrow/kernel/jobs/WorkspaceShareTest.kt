package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.workspaces.Workspace
import org.anvilbarrow.kernel.workspaces.WorkspaceDirectory
import org.anvilbarrow.protocol.jobs.JobPhase
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.getValue
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import java.time.Duration
import java.time.Instant
import kotlin.random.Random

/**
 * Plays a cell in which one workspace sends seven times what it is entitled to for 6 s.
 *
 * Its jobs alone need 1.6 times the processors of the cell, those of the four other workspaces a third of them.
 */
class WorkspaceShareTest {
    private val second = Duration.ofSeconds(1)
    private val names = listOf("hot", "b", "c", "d", "e")
    private val directory = WorkspaceDirectory(names.map { Workspace(it, weight = 3.0) })

    private class Outcome(
        val inTime: Map<String, Double>,
        val openJobs: Int,
        val violations: List<String>,
    )

    private fun play(
        seed: Int,
        limits: CellLimits,
    ): Outcome {
        val queue = queue("q", priority = 0, stretch = 1.5, target = Duration.ofMillis(600))
        val world = JobWorld(8, seed, limits = limits, queues = listOf(queue), workspaces = directory)
        val random = Random(seed)
        val objectives = HashMap<String, Instant>()
        world.run(second)
        repeat(HOT_STEPS) { count ->
            val submitted = List(HOT_JOBS_PER_STEP) { "hot" } + names.drop(1).filter { random.nextInt(2) == 0 }
            submitted.forEachIndexed { index, workspace ->
                val id = "$workspace-$count-$index"
                val millis = random.nextLong(500, 1_500)
                objectives[id] = world.now.plusMillis(millis * 3 / 2).plus(queue.targetDuration)
                val tasks = if (workspace == "hot") 2 else 1
                world.submit(id, step(tasks, cpuMillicores = 20_000, millis = millis), workspace = workspace)
            }
            world.run(STEP)
        }
        world.run(second.multipliedBy(40))
        val ends = world.finished().filter { it.phase == JobPhase.COMPLETED }.associateBy { it.job.value }
        val inTime =
            objectives.entries.groupBy({ it.key.substringBefore('-') }) { (id, objective) ->
                ends[id]?.let { !Instant.ofEpochMilli(it.endedAtEpochMillis).isAfter(objective) } ?: false
            }
        return Outcome(
            inTime.mapValues { (_, met) -> met.count { it }.toDouble() / met.size },
            world.stored().jobs.size,
            world.violations,
        )
    }

    /** Guards against a workspace that delays all others by sending more than its share. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `workspaces within their share are served in time beside one that is not`(seed: Int) {
        val without = play(seed, CellLimits(ranksBeyondShareLast = false))
        val with = play(seed, CellLimits())
        names.drop(1).forEach { name ->
            expectThat(with.inTime).getValue(name).isGreaterThanOrEqualTo(0.9)
            expectThat(with.inTime.getValue(name)).isGreaterThan(without.inTime.getValue(name))
        }
        expectThat(with.openJobs).isEqualTo(0)
        expectThat(with.violations).isEmpty()
    }

    @Test
    fun `a share is counted in jobs a second and refills with time`() {
        val arrivals = WorkspaceArrivals()
        val workspace = directory.workspaces.first()
        val start = Instant.EPOCH
        val within = List(5) { arrivals.isWithinShare(workspace, 1, start) }
        expectThat(within).isEqualTo(listOf(true, true, true, false, false))
        expectThat(arrivals.isWithinShare(workspace, 1, start.plusMillis(200))).isEqualTo(false)
        expectThat(arrivals.isWithinShare(workspace, 1, start.plusMillis(400))).isEqualTo(true)
        val later = List(10) { arrivals.isWithinShare(workspace, 1, start.plusSeconds(60)) }.count { it }
        expectThat(later).isGreaterThan(2).isLessThan(4)
    }

    private companion object {
        val STEP: Duration = Duration.ofMillis(250)
        const val HOT_STEPS = 24
        const val HOT_JOBS_PER_STEP = 5
    }
}
