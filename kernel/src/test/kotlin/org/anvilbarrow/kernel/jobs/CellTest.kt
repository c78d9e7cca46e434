package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import java.time.Duration

/** The owner of a shard against upstreams and a store that fail in the ways that the platform names. */
class CellTest {
    private val second = Duration.ofSeconds(1)

    @Test
    fun `a job is acknowledged after it is stored and runs its steps in order`() {
        val world = JobWorld()
        world.run(second)
        val call = world.submit("a", step(3), step(2, dependsOn = intArrayOf(0)))
        expectThat(world.answers[call]).isNull()
        world.run(second.dividedBy(2))
        expectThat(world.answers[call]).isEqualTo(JobAnswer.Accepted)
        world.run(second.multipliedBy(4))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(5)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a submission is refused at once while the store does not answer and never runs`() {
        val world = JobWorld()
        world.run(second)
        world.storeDown = true
        val first = world.submit("a", step(1))
        world.run(second)
        val second = world.submit("b", step(1))
        world.run(Duration.ofMillis(1))
        expectThat(world.answers[second]).isA<JobAnswer.Refused>()
        world.run(Duration.ofSeconds(10))
        // Its record was handed to the store, so neither "accepted" nor "refused" would be true.
        expectThat(world.answers[first]).isA<JobAnswer.Unknown>()
        world.storeDown = false
        world.run(Duration.ofSeconds(5))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.phase("b")).isNull()
        expectThat(world.startTimes.size).isEqualTo(1)
    }

    @Test
    fun `a successor adopts what runs and starts nothing twice`() {
        val world = JobWorld()
        world.run(second)
        world.submit("a", step(8, millis = 3_000))
        world.run(second)
        world.takeOver()
        world.run(second.multipliedBy(6))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(8)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a task on an upstream that is cut off starts elsewhere only after its lease`() {
        val world = JobWorld(workers = 2)
        world.run(second)
        world.submit("a", step(2, millis = 4_000, cpuMillicores = 60_000))
        world.run(second)
        world.unreachable += world.workers.keys.first()
        world.run(second.multipliedBy(14))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a start without an answer that is carried out late does not run a task twice`() {
        val world = JobWorld(workers = 3, seed = 3)
        world.lateShare = 0.3
        world.run(second)
        repeat(10) { world.submit("job$it", step(4, millis = 800)) }
        world.run(second.multipliedBy(20))
        repeat(10) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `an upstream that restarts under its id loses its runs and gets new ones`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", step(3, millis = 2_000))
        world.run(second)
        world.workers.values
            .first()
            .restart()
        world.run(second.multipliedBy(6))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a cancelled job stops and starts nothing any more, also under a successor`() {
        val world = JobWorld()
        world.run(second)
        world.submit("a", step(2, millis = 60_000), step(2, dependsOn = intArrayOf(0)))
        world.run(second)
        val call = world.ask(JobRequest.Cancel(JobId("a"), "q"))
        world.run(Duration.ofMillis(100))
        expectThat(world.answers[call]).isEqualTo(JobAnswer.Cancelled)
        world.takeOver()
        world.run(second.multipliedBy(5))
        expectThat(world.phase("a")).isEqualTo(JobPhase.CANCELLED)
        expectThat(world.workers.values.sumOf { it.running.size }).isEqualTo(0)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `an upstream that fails everything is set aside before it uses up the attempts of many tasks`() {
        val world = JobWorld(workers = 4)
        world.workers.values
            .first()
            .failsEverything = true
        world.run(second)
        repeat(12) { world.submit("job$it", step(2, millis = 300)) }
        world.run(second.multipliedBy(10))
        repeat(12) { expectThat(world.phase("job$it")).isEqualTo(JobPhase.COMPLETED) }
    }

    @Test
    fun `a task that fails everywhere ends its job as failed with a reason`() {
        val world = JobWorld()
        world.workers.values.forEach { it.failsEverything = true }
        world.run(second)
        world.submit("a", step(1, millis = 200))
        world.run(second.multipliedBy(20))
        expectThat(world.phase("a")).isEqualTo(JobPhase.FAILED)
        expectThat(world.startTimes.size).isEqualTo(3)
    }

    @Test
    fun `a failure that is listed again to a successor counts once`() {
        val world = JobWorld(workers = 1)
        val worker = world.workers.values.first()
        world.run(second)
        worker.failsEverything = true
        world.submit("a", step(1, millis = 100))
        world.run(Duration.ofMillis(500))
        worker.failsEverything = false
        // Each successor gets the same end again, as none lives long enough to acknowledge it.
        repeat(3) {
            world.takeOver()
            world.run(Duration.ofMillis(12))
        }
        world.run(second.multipliedBy(10))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `tasks that stand still are stopped and run elsewhere`() {
        val world = JobWorld(workers = 2)
        world.run(second)
        world.workers.values
            .first()
            .hangs = true
        world.submit("a", step(2, millis = 1_000, cpuMillicores = 60_000))
        world.run(second.multipliedBy(14))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a gang starts as one and only where the advice service allows it`() {
        val terms = AdviceTerms(Duration.ofMillis(900), Duration.ofMillis(9), Duration.ofMillis(1_500))
        val world = JobWorld(workers = 24, advice = terms, allowedShare = 0.5)
        world.run(second)
        world.submit("a", step(8, cpuMillicores = 18_000, millis = 2_000, gang = true))
        world.run(second.multipliedBy(5))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(
            Duration.between(world.startTimes.first(), world.startTimes.last()),
        ).isLessThan(Duration.ofMillis(50))
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a gang whose members are found one after the other is adopted as a whole`() {
        val world = JobWorld(workers = 4)
        world.run(second)
        world.submit("a", step(4, cpuMillicores = 60_000, millis = 3_000, gang = true))
        world.run(second)
        val slow = world.workers.keys.last()
        world.unreachable += slow
        world.takeOver()
        world.run(Duration.ofMillis(1_000))
        world.unreachable -= slow
        world.run(second.multipliedBy(10))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(4)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a gang that does not fit where it may run asks about upstreams that come later`() {
        val terms = AdviceTerms(Duration.ofMillis(20), Duration.ofMillis(1), Duration.ofMillis(1_500))
        val world = JobWorld(workers = 4, advice = terms)
        world.workers.values
            .drop(1)
            .forEach { it.listed = false }
        world.run(second)
        world.submit("a", step(4, cpuMillicores = 60_000, millis = 1_000, gang = true))
        world.run(second)
        world.workers.values.forEach { it.listed = true }
        world.run(second.multipliedBy(4))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    @Test
    fun `a step whose first calls for advice fail asks again`() {
        val terms = AdviceTerms(Duration.ofMillis(20), Duration.ofMillis(1), Duration.ofMillis(1_500))
        val world = JobWorld(advice = terms)
        world.run(second)
        world.failingAdvice = 2
        world.submit("a", step(1))
        world.run(second.multipliedBy(5))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    @Test
    fun `finished jobs are forgotten after the retention`() {
        val world = JobWorld()
        world.run(second)
        world.submit("a", step(1))
        world.run(second.multipliedBy(5))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.store.keys.filter { it.startsWith(ShardKeyPrefixes.FINISHED) }).hasSize(1)
        world.run(Duration.ofSeconds(130))
        expectThat(world.phase("a")).isNull()
        expectThat(world.store.keys.filter { !it.startsWith(ShardKeyPrefixes.UPSTREAM) }).isEmpty()
    }

    /** Guards against work that is lost with its upstream and waits for the leases there. */
    @Test
    fun `a run that cannot end before its upstream leaves starts elsewhere in time`() {
        val world = JobWorld(workers = 2)
        world.run(second)
        world.submit("a", step(1, millis = 6_000))
        world.run(second)
        val host = world.workers.values.single { it.running.isNotEmpty() }
        host.leavesIn = second.multipliedBy(3)
        world.run(Duration.ofMillis(3_500))
        host.listed = false
        world.unreachable += host.id
        world.run(second.multipliedBy(4))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(2)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against work that is thrown away although there was time for it. */
    @Test
    fun `a run that ends before its upstream leaves stays there`() {
        val world = JobWorld(workers = 2)
        world.run(second)
        world.submit("a", step(1, millis = 3_000))
        world.run(second)
        world.workers.values
            .single { it.running.isNotEmpty() }
            .leavesIn = second.multipliedBy(3)
        world.run(second.multipliedBy(3))
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(1)
    }

    /** Guards against successors that wait for the leases of an upstream that left without work. */
    @Test
    fun `an upstream that left when nothing ran there is dropped at once`() {
        val world = JobWorld(workers = 2)
        world.run(second)
        world.submit("a", step(2, millis = 500, cpuMillicores = 60_000))
        world.run(second.multipliedBy(3))
        val left = world.workers.values.first()
        left.listed = false
        world.unreachable += left.id
        world.run(Duration.ofMillis(2_500))
        expectThat(world.store.keys).doesNotContain(ShardKeyPrefixes.UPSTREAM + left.id)
    }

    /** Guards against an upstream that is filled while a run of a finished job, whose size is not stored, ends. */
    @Test
    fun `a successor starts nothing on an upstream until runs of unknown size have ended`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.submit("a", step(1, cpuMillicores = 60_000, millis = 60_000))
        world.run(second)
        world.workers.values
            .first()
            .stopTime = Duration.ofMillis(900)
        world.ask(JobRequest.Cancel(JobId("a"), "q"))
        world.run(Duration.ofMillis(100))
        world.takeOver()
        world.submit("b", step(1, cpuMillicores = 60_000, millis = 500))
        world.run(second.multipliedBy(4))
        expectThat(world.phase("b")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against a takeover that reads two records for each of a thousand finished jobs. */
    @Test
    fun `finished jobs are stored in groups and known to a successor`() {
        val world = JobWorld()
        world.run(second)
        repeat(70) { world.submit("job$it", step(1, millis = 100)) }
        val cancelled = world.submit("cancelled", step(1, millis = 60_000))
        world.run(second.multipliedBy(8))
        world.ask(JobRequest.Cancel(JobId("cancelled"), "q"))
        world.run(second)
        expectThat(world.answers[cancelled]).isEqualTo(JobAnswer.Accepted)
        expectThat(world.store.keys.filter { !it.startsWith(ShardKeyPrefixes.UPSTREAM) }).hasSize(3)
        world.takeOver()
        world.run(second)
        expectThat(world.phase("job69")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.phase("cancelled")).isEqualTo(JobPhase.CANCELLED)
        val again = world.submit("job69", step(1, millis = 100))
        val elsewhere = world.submit("job68", step(1, millis = 100), queue = "other")
        val cancel = world.ask(JobRequest.Cancel(JobId("job67"), "q"))
        world.run(second.multipliedBy(2))
        expectThat(world.answers[again]).isEqualTo(JobAnswer.Accepted)
        expectThat(world.answers[elsewhere]).isA<JobAnswer.Invalid>()
        expectThat(world.answers[cancel]).isEqualTo(JobAnswer.Cancelled)
        expectThat(world.startTimes.size).isEqualTo(71)
        expectThat(world.violations).isEmpty()
    }
}
