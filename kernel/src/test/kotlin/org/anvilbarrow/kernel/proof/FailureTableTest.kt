package org.anvilbarrow.kernel.proof

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** Guards P1 to P8 and the answers of section 10 of the design page under each failure of section 2.6. */
internal class FailureTableTest {
    private class Owner(
        val state: String,
        val fault: ((Int) -> Fault)?,
        /** True if nothing may stop while the log fails. */
        val goesOn: Boolean = false,
    )

    private val logs =
        mapOf(
            "up" to emptyList(),
            "slow" to listOf(TimedFault(0, Fault.LogSlow(9_000))),
            "down" to listOf(TimedFault(0, Fault.LogDown(9_000))),
            "losing append answers" to (0L..4L).map { TimedFault(it * 1_500, Fault.OperatorsRace) },
        )

    private val owners =
        listOf(
            Owner("healthy", null, goesOn = true),
            Owner("dead", { Fault.SchedulerDies(it, 6_000) }),
            Owner("paused past its lease", { Fault.SchedulerPauses(it, 5_000) }),
            Owner("cut off from the log only", { Fault.LogCut(it, 7_000) }, goesOn = true),
            Owner("cut off from its peers only", { Fault.AllPeersCut(it, 7_000) }),
            Owner("cut off from its upstreams only", { Fault.AllUpstreamsCut(it, 7_000) }),
        )

    @TestFactory
    fun `log by owner`(): List<DynamicTest> =
        logs.flatMap { (log, logFaults) ->
            owners.map { owner ->
                dynamicTest("log $log, owner ${owner.state}") {
                    for (scheduler in 0 until SCHEDULERS) {
                        val fault = owner.fault?.let { listOf(TimedFault(1_000, it(scheduler))) }.orEmpty()
                        val world = World(plan(scheduler + 1L, logFaults + fault))
                        expectNoViolation(world)
                        if (owner.goesOn) expectThat(answeredPercent(world)).isGreaterThan(MIN_ANSWERED_PERCENT)
                    }
                }
            }
        }

    @TestFactory
    fun `failures alone, twice and together`(): List<DynamicTest> {
        val failures: Map<String, List<TimedFault>> =
            mapOf(
                "nothing fails" to emptyList(),
                "a scheduler dies" to listOf(at(1_000, Fault.SchedulerDies(0, 9_000))),
                "a scheduler dies twice" to
                    listOf(at(500, Fault.SchedulerDies(1, 400)), at(2_500, Fault.SchedulerDies(1, 400))),
                "two schedulers die together" to
                    listOf(at(1_000, Fault.SchedulerDies(0, 3_500)), at(1_000, Fault.SchedulerDies(1, 3_500))),
                "all schedulers die together" to List(SCHEDULERS) { at(1_000, Fault.SchedulerDies(it, 1_000)) },
                "all schedulers pause together" to List(SCHEDULERS) { at(1_000, Fault.SchedulerPauses(it, 4_000)) },
                "a scheduler starts while the log is down" to
                    listOf(at(500, Fault.LogDown(9_000)), at(1_000, Fault.SchedulerDies(2, 500))),
                "an upstream dies" to listOf(at(1_000, Fault.UpstreamDies(0, 9_000))),
                "most anchors of a shard die together" to
                    listOf(at(1_000, Fault.UpstreamDies(0, 2_000)), at(1_000, Fault.UpstreamDies(2, 2_000))),
                "an upstream dies while its owner is paused" to
                    listOf(at(1_000, Fault.SchedulerPauses(0, 5_000)), at(1_200, Fault.UpstreamDies(0, 1_000))),
                "upstreams fail everything" to List(2) { at(500, Fault.UpstreamFails(it, 9_000)) },
                "cancellations arrive in waves" to List(8) { at(it * 700L, Fault.CancellationWave) },
                "operators race" to List(5) { at(it * 500L, Fault.OperatorsRace) },
                "a change is made while a scheduler cannot read the log" to
                    listOf(at(0, Fault.LogCut(1, 16_000)), at(1_000, Fault.OperatorsRace)),
                "connections go silent one way" to
                    listOf(
                        at(500, Fault.UpstreamCut(0, 0, Direction.BACKWARD, 9_000)),
                        at(700, Fault.PeersCut(1, 2, Direction.FORWARD, 9_000)),
                    ),
                "a planned stop while another scheduler dies" to
                    listOf(at(1_000, Fault.PlannedStop(0, 500)), at(1_100, Fault.SchedulerDies(1, 2_000))),
                "an upstream leaves and one scheduler reads the VM list" to
                    leaves(LeavingSign.VM_LIST) + List(2) { at(0, Fault.VmListCut(it, 16_000)) },
                "an upstream is drained and one scheduler reads the log" to
                    leaves(LeavingSign.OPERATOR) + listOf(1, 2).map { at(0, Fault.LogCut(it, 16_000)) },
            ) + LeavingSign.entries.associate { "an upstream leaves, seen by $it" to leaves(it) }
        return failures.map { (name, faults) ->
            dynamicTest(name) {
                NetworkQuality.entries.forEach { quality ->
                    expectNoViolation(World(plan(SEED, faults).copy(quality = quality)))
                }
            }
        }
    }

    /** Guards against instructions of a former owner that were queued before it paused. */
    @Test
    fun `instructions that were held up by a pause past the lease are harmless`() {
        for (seed in SEED until SEED + HELD_UP_RUNS) {
            val world = World(plan(seed, emptyList()).copy(requestIntervalMillis = 20))
            pauseWhenExecuting(world)
            expectNoViolation(world)
        }
    }

    /** Guards against a region that stands still while it is cut off. */
    @Test
    fun `a region that is cut off goes on by itself`() {
        val (even, odd) = (0 until REGION_NODES).partition { it % 2 == 0 }
        val peers = even.flatMap { a -> odd.map { b -> Fault.PeersCut(a, b, Direction.BOTH, 8_000) } }
        val upstreams =
            (0 until REGION_NODES).flatMap { scheduler ->
                (0 until UPSTREAMS)
                    .filter { (it + scheduler) % 2 == 1 }
                    .map { Fault.UpstreamCut(scheduler, it, Direction.BOTH, 8_000) }
            }
        val faults = (peers + upstreams).map { at(1_000, it) }
        val world = World(Plan(SEED, REGION_NODES, UPSTREAMS, regions = 2, faults = faults, copiedPercent = 0))
        expectNoViolation(world)
        val own =
            world.callers.sentBetween(2_000, 7_000).filter {
                it.request.workload.endsWith(it.host.region) && world.callers.isFair(it)
            }
        expectThat(own.count { it.ending == Ending.ANSWERED } * 100 / own.size).isGreaterThan(MIN_ANSWERED_PERCENT)
    }

    /** Guards P5 at the end of the memory of ids: the next home's clock may be behind that of the home that forgot. */
    @Test
    fun `a handover does not bring ids back whose retention has ended`() {
        for (seed in SEED until SEED + RETENTION_RUNS) {
            val world = World(plan(seed, List(SCHEDULERS) { at(it * 5_000L, Fault.PlannedStop(it, 100)) }))
            copiesAround(world, -world.limits.idRetention.toMillis())
            expectNoViolation(world)
        }
    }

    /** Guards P4 at the edge of what a home accepts: one copy is refused, the next is not, and answers overtake. */
    @Test
    fun `copies whose issue time is just too far ahead are not run after a refusal`() {
        for (seed in SEED until SEED + AHEAD_RUNS) {
            val world = World(plan(seed, emptyList()).copy(quality = NetworkQuality.REORDERING))
            copiesAround(world, world.limits.issuedAhead.toMillis())
            expectNoViolation(world)
        }
    }

    private fun copiesAround(
        world: World,
        aheadMillis: Long,
    ) = repeat(EDGE_REQUESTS) { step ->
        world.timeline.after(millis(World.LOAD_START_MILLIS + step * EDGE_STEP_MILLIS)) {
            world.callers.sendCopiesAround(aheadMillis, EDGE_STEP_MILLIS)
        }
    }

    /** Guards P7: work that runs when a stop begins gets its answer, at the stopping scheduler and elsewhere. */
    @Test
    fun `planned stops of all schedulers one after the other cut off no exchange`() {
        val stops = List(SCHEDULERS) { at(it * 4_000L, Fault.PlannedStop(it, 500)) }
        for (seed in SEED until SEED + STOP_RUNS) {
            val world = World(plan(seed, stops))
            expectNoViolation(world)
            val cutOff =
                world.callers.sentBetween(0, World.LOAD_MILLIS).filter {
                    it.results.isNotEmpty() && it.endedInTime && it.ending == Ending.UNKNOWN
                }
            expectThat(cutOff).isEmpty()
        }
    }

    /** Guards against jobs that can never run staying queued or being called unknown. */
    @Test
    fun `jobs that can never run are refused`() {
        val world = World(plan(SEED, emptyList()))
        expectNoViolation(world)
        val huge = world.callers.sentBetween(0, World.LOAD_MILLIS).filter { it.request.workload.startsWith("huge") }
        expectThat(huge.filter { it.ending == Ending.ANSWERED || it.ending == null }).isEmpty()
        expectThat(huge.filter { it.ending == Ending.REFUSED }.size).isGreaterThan(huge.size / 2)
    }

    private fun plan(
        seed: Long,
        faults: List<TimedFault>,
    ) = Plan(seed, schedulers = SCHEDULERS, faults = faults, copiedPercent = 5)

    private fun at(
        millis: Long,
        fault: Fault,
    ) = TimedFault(millis, fault)

    private fun leaves(sign: LeavingSign) = listOf(at(1_000, Fault.UpstreamLeaves(0, sign)))

    private fun answeredPercent(world: World): Int {
        val fair = world.callers.sentBetween(2_000, 7_000).filter(world.callers::isFair)
        return fair.count { it.ending == Ending.ANSWERED } * 100 / fair.size
    }

    private companion object {
        const val SEED = 20_260_105L
        const val SCHEDULERS = 3
        const val REGION_NODES = 4
        const val UPSTREAMS = 6
        const val HELD_UP_RUNS = 5
        const val RETENTION_RUNS = 10
        const val AHEAD_RUNS = 3
        const val EDGE_REQUESTS = 300
        const val EDGE_STEP_MILLIS = 50L
        const val STOP_RUNS = 3

        /** The rest are runs past their deadline. */
        const val MIN_ANSWERED_PERCENT = 85
    }
}
