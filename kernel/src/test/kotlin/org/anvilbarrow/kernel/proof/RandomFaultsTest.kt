package org.anvilbarrow.kernel.proof

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode

/** Guards P1 to P8 under sequences of faults that nobody thought of, up to two of them at the same moment. */
internal class RandomFaultsTest {
    @Property(seed = "20260105", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
    fun `invariants hold under random faults`(
        @ForAll("plans") plan: Plan,
    ) = expectNoViolation(World(plan))

    @Property(seed = "20260106", tries = TRIES, shrinking = ShrinkingMode.BOUNDED)
    fun `invariants hold under random faults when the upstreams are full`(
        @ForAll("plans") plan: Plan,
    ) = expectNoViolation(World(plan.copy(requestIntervalMillis = 15, copiedPercent = 10)))

    @Provide
    fun plans(): Arbitrary<Plan> =
        Combinators
            .combine(
                Arbitraries.longs().between(1, 1_000_000).withoutEdgeCases(),
                Arbitraries.integers().between(2, 4),
                Arbitraries.of(4, 6, 8),
                Arbitraries.of(1, 2),
                Arbitraries.of(NetworkQuality::class.java),
                timedFaults().list().ofMaxSize(MAX_FAULTS),
            ).`as` { seed, schedulers, upstreams, regions, quality, faults ->
                Plan(seed, schedulers, upstreams, if (upstreams < MIN_FOR_TWO_SHARDS) 1 else regions, quality, faults)
            }

    /** Few different times, so that faults often meet. */
    private fun timedFaults(): Arbitrary<TimedFault> =
        Combinators
            .combine(Arbitraries.longs().between(0, World.MAX_FAULT_AT_MILLIS / TIME_STEP_MILLIS), faults())
            .`as` { step, fault -> TimedFault(step * TIME_STEP_MILLIS, fault) }

    private fun faults(): Arbitrary<Fault> {
        val node = Arbitraries.integers().between(0, 7)
        val millis = Arbitraries.longs().between(100, World.MAX_FAULT_MILLIS)
        val direction = Arbitraries.of(Direction::class.java)
        return Arbitraries.oneOf(
            listOf(
                onOne(node, millis, Fault::SchedulerDies),
                onOne(node, millis, Fault::SchedulerPauses),
                onOne(node, millis, Fault::SchedulerPauses),
                onOne(node, Arbitraries.longs().between(0, 2_000), Fault::PlannedStop),
                onOne(node, millis, Fault::UpstreamDies),
                onOne(node, millis, Fault::UpstreamFails),
                onOne(node, millis, Fault::AllPeersCut),
                onOne(node, millis, Fault::AllUpstreamsCut),
                onOne(node, millis, Fault::LogCut),
                onOne(node, millis, Fault::VmListCut),
                Combinators.combine(node, Arbitraries.of(LeavingSign::class.java)).`as`(Fault::UpstreamLeaves),
                Combinators.combine(node, node, direction, millis).`as`(Fault::PeersCut),
                Combinators.combine(node, node, direction, millis).`as`(Fault::UpstreamCut),
                millis.map(Fault::LogDown),
                millis.map(Fault::LogSlow),
                Arbitraries.of(Fault.OperatorsRace, Fault.CancellationWave),
            ),
        )
    }

    private fun onOne(
        node: Arbitrary<Int>,
        millis: Arbitrary<Long>,
        fault: (Int, Long) -> Fault,
    ): Arbitrary<Fault> = Combinators.combine(node, millis).`as`(fault)

    private companion object {
        /** Keeps the class under 60 s. */
        const val TRIES = 40
        const val MAX_FAULTS = 5
        const val TIME_STEP_MILLIS = 250L
        const val MIN_FOR_TWO_SHARDS = 6
    }
}
