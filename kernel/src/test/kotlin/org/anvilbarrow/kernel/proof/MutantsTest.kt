package org.anvilbarrow.kernel.proof

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory

/** Guards against a checker that misses violations: each mistake put in on purpose must be reported. */
internal class MutantsTest {
    private class Mutant(
        val name: String,
        val expected: Point,
        val mutation: () -> Mutation,
        vararg val faults: Fault,
        val pausesWhenExecuting: Boolean = false,
    )

    private val mutants =
        listOf(
            Mutant("an owner skips its lease check", Point.P1_OVERFILLED, ::IgnoresLeases, pausesWhenExecuting = true),
            Mutant("an inventory is ignored", Point.P1_OVERFILLED, ::IgnoresInventory, *deaths()),
            Mutant("capacity is counted twice", Point.P1_OVERFILLED, ::DoublesCapacity),
            Mutant("a placement is executed twice", Point.P5_RAN_TWICE, ::ExecutesTwice),
            Mutant("a home lacks the majority", Point.P5_RAN_TWICE, ::HomeWithoutMajority, *allCut()),
            Mutant("a home lacks the majority", Point.P2_TWO_PLACES, ::HomeWithoutMajority, *allCut()),
            Mutant("a home lacks the majority", Point.TWO_HOMES, ::HomeWithoutMajority, *allCut()),
            Mutant("a home lacks the majority", Point.TWO_OWNERS, ::HomeWithoutMajority, *allCut()),
            Mutant("a catalog is stale after a restart", Point.P8_CATALOG, ::StaleCatalogAfterRestart, *deaths()),
            Mutant("a gang starts with half of its grants", Point.GANG_PARTIAL, ::HalfAGang),
            Mutant("an outcome is given twice", Point.P3_OUTCOME, ::AnswersTwice),
            Mutant("an outcome goes to another exchange", Point.P3_OUTCOME, ::AnswersAnother),
            Mutant("an outcome is not given", Point.STUCK, ::NeverAnswers),
            Mutant("unknown is called not run", Point.P4_REFUSED_RAN, ::CallsUnknownRefused),
            Mutant("a planned stop does not wait", Point.P7_CUT_OFF, ::StopsAtOnce, Fault.PlannedStop(0, 500)),
            Mutant("leaving is ignored", Point.P6_LEAVING, ::IgnoresLeaving, leaves(LeavingSign.VM_LIST)),
            Mutant("leaving is ignored", Point.P6_LEAVING, ::IgnoresLeaving, leaves(LeavingSign.OPERATOR)),
            Mutant("leaving is ignored", Point.P6_LEAVING, ::IgnoresLeaving, leaves(LeavingSign.UPSTREAM)),
        )

    @TestFactory
    fun `mistakes are reported`(): List<DynamicTest> =
        mutants.map { mutant ->
            dynamicTest("${mutant.name}: ${mutant.expected} ${mutant.faults.firstOrNull() ?: ""}") { catch(mutant) }
        }

    /** A mistake need not show in every run, so a few seeds are tried. */
    private fun catch(mutant: Mutant) {
        val seen = HashSet<Point>()
        for (seed in 1L..MAX_SEEDS) {
            val plan =
                Plan(
                    seed = seed,
                    faults = mutant.faults.map { TimedFault(FAULT_AT_MILLIS, it) },
                    requestIntervalMillis = REQUEST_INTERVAL_MILLIS,
                    copiedPercent = COPIED_PERCENT,
                )
            val world = World(plan, mutant.mutation()) { it.point == mutant.expected }
            if (mutant.pausesWhenExecuting) pauseWhenExecuting(world)
            val violations = world.run().map { it.point }
            if (mutant.expected in violations) return
            seen.addAll(violations)
        }
        throw AssertionError("${mutant.expected} was not reported for: ${mutant.name}; reported were $seen")
    }

    private fun deaths() = Array<Fault>(SCHEDULERS) { Fault.SchedulerDies(it, 500) }

    private fun allCut() = Array<Fault>(SCHEDULERS) { Fault.AllPeersCut(it, World.MAX_FAULT_MILLIS) }

    private fun leaves(sign: LeavingSign) = Fault.UpstreamLeaves(0, sign)

    private companion object {
        const val MAX_SEEDS = 10L
        const val SCHEDULERS = 3
        const val FAULT_AT_MILLIS = 2_000L
        const val REQUEST_INTERVAL_MILLIS = 12L
        const val COPIED_PERCENT = 50
    }
}
