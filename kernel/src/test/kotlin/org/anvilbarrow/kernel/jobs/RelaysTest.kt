package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.persistentListOf
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.StopResult
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.time.Duration

/** Tests calls to upstreams that other processes make on behalf of the owner. */
class RelaysTest {
    private val second = Duration.ofSeconds(1)

    private fun JobWorld.callers(): Map<UpstreamId, Set<String>> =
        calls.groupBy({ it.order.upstream }, { it.via }).mapValues { it.value.toSet() }

    private val mixedSizes =
        persistentListOf(
            CellMember("vm-1", "region", "domain", 0.36),
            CellMember("small", "region", "domain", 0.36),
            CellMember("large", "region", "domain", 1.5),
            CellMember("far", "elsewhere", "domain", 4.0),
        )

    /** Returns the number of upstreams that each process calls. */
    private fun JobWorld.loads(): Map<String, Int> {
        calls.clear()
        run(second.multipliedBy(3))
        expectThat(callers().values).all { hasSize(1) }
        return callers()
            .values
            .flatten()
            .groupingBy { it }
            .eachCount()
    }

    /** Guards against an owner that makes every call itself, and against VMs with more calls than they can handle. */
    @Test
    fun `more upstreams than large processes handle are spread over their region by processors`() {
        val world = JobWorld(workers = 90)
        world.connect(mixedSizes)
        world.run(second.multipliedBy(20))
        val loads = world.loads()
        expectThat(loads.keys).isEqualTo(setOf("small", "large"))
        expectThat(loads.getValue("large")).isGreaterThan(loads.getValue("small") * 3)
    }

    /** Guards against small VMs that load and compile the code for a few calls each, and answer them late. */
    @Test
    fun `the large processes of a region make all calls that they can handle`() {
        val world = JobWorld(workers = 50)
        world.connect(mixedSizes.removeAll { it.address == "large" })
        world.run(second.multipliedBy(5))
        world.connect(mixedSizes)
        world.run(second.multipliedBy(20))
        expectThat(world.loads()).isEqualTo(mapOf("large" to 50))
        expectThat(world.violations).isEmpty()
    }

    /** Guards against runs that are restarted or abandoned because the process that calls their upstream died. */
    @Test
    fun `a run continues when the process that calls its upstream is lost`() {
        val world = JobWorld(workers = 3)
        world.run(second)
        world.submit("a", step(3, cpuMillicores = 60_000, millis = 3_000))
        world.run(second)
        val lost = world.calls.last { it.order is UpstreamOrder.Start }.via
        world.connect(JobWorld.MEMBERS.removeAll { it.address == lost })
        world.calls.clear()
        world.run(second.multipliedBy(5))
        expectThat(world.calls.map { it.via }).doesNotContain(lost)
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
        expectThat(world.startTimes.size).isEqualTo(3)
        expectThat(world.violations).isEmpty()
    }

    /** Guards against two processes whose orders carry the same fencing token, so that an upstream accepts both. */
    @Test
    fun `no two processes call an upstream with the same token and tokens never decrease`() {
        val world = JobWorld(workers = 6)
        val orders = listOf(listOf(0, 1, 2), listOf(1, 2), listOf(0, 2), listOf(0, 1), listOf(0, 1, 2))
        orders.forEach { present ->
            world.run(second.multipliedBy(2))
            world.connect(JobWorld.MEMBERS.removeAll { JobWorld.MEMBERS.indexOf(it) !in present })
        }
        world.takeOver()
        world.run(second.multipliedBy(8))
        val byToken = world.calls.groupBy({ it.order.upstream to it.order.token }, { it.via })
        expectThat(byToken.values.map { it.toSet() }).all { hasSize(1) }
        world.calls.groupBy({ it.order.upstream }, { it.order.token }).values.forEach { tokens ->
            expectThat(tokens).isEqualTo(tokens.sorted())
        }
        expectThat(world.violations).isEmpty()
    }

    /** Guards against an owner that resigns because an order of its own earlier relay arrived late and was fenced. */
    @Test
    fun `an order fenced by a later one of the same owner does not displace the owner`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        val early = world.calls.first().order as UpstreamOrder.Observe
        val via = world.calls.first().via
        world.connect(JobWorld.MEMBERS.removeAll { it.address == via })
        world.run(second)
        expectThat(early.token).isLessThan(
            world.calls
                .last()
                .order.token,
        )
        world.deliver(CellEvent.Reported(early, world.now, UpstreamReport.Observed(Observation.Displaced)))
        world.run(second)
        expectThat(world.violations).isEmpty()
        val stop = UpstreamOrder.Stop(early.upstream, early.address, early.token, TASK, 1)
        world.deliver(CellEvent.Reported(stop, world.now, UpstreamReport.Stopped(StopResult.DISPLACED)))
        expectThat(world.violations).isEmpty()
    }

    /** Guards against an owner that resigns because an upstream has seen a higher token from this very owner. */
    @Test
    fun `an upstream that was gone and returns as the same process gets no lower token`() {
        val world = JobWorld(workers = 1)
        world.run(second)
        world.connect(JobWorld.MEMBERS.removeAll { it.address == world.calls.first().via })
        world.run(second)
        val worker = world.workers.values.single()
        worker.listed = false
        world.unreachable += worker.id
        world.run(second.multipliedBy(5))
        expectThat(world.decisions.map { it.kind }).contains("upstream-gone")
        worker.listed = true
        world.unreachable -= worker.id
        world.run(second.multipliedBy(5))
        expectThat(world.violations).isEmpty()
        val tokens = world.calls.map { it.order.token }
        expectThat(tokens).isEqualTo(tokens.sorted())
    }

    /** Guards against a new owner that calls every upstream itself while other processes are still connecting. */
    @Test
    fun `a new owner waits for processes in the region of the upstreams before it calls them itself`() {
        val world = JobWorld(workers = 4)
        world.connect(persistentListOf(CellMember("owner", "elsewhere", "domain", 1.0)))
        world.takeOver()
        world.calls.clear()
        world.run(Duration.ofMillis(200))
        expectThat(world.calls).isEmpty()
        world.run(second)
        expectThat(
            world
                .callers()
                .values
                .flatten()
                .toSet(),
        ).isEqualTo(setOf("owner"))
    }

    private companion object {
        val TASK = checkNotNull(TaskRef.parse("5c0e7a21d94b36f8.0.0.0"))
    }
}
