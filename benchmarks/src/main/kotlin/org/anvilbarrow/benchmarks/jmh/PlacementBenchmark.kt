package org.anvilbarrow.benchmarks.jmh

import org.anvilbarrow.kernel.placement.Candidate
import org.anvilbarrow.kernel.placement.PlacementPolicy
import org.anvilbarrow.kernel.policy.PlacementLookup
import org.anvilbarrow.kernel.policy.PolicyRegistry
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.apache.commons.math3.random.Well19937c
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** Cost of choosing among candidates that are already listed; the kernel's work around it is not included. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class PlacementBenchmark {
    /** Number of candidates. */
    @Param("33", "330", "1400")
    public var upstreams: Int = 0

    /** Policy under test. */
    @Param("spread", "pack", "gang")
    public var policyName: String = ""

    private lateinit var policy: PlacementPolicy
    private lateinit var candidates: List<Candidate>

    /** Lists half-used candidates in 17 failure domains. */
    @Setup
    public fun prepare() {
        policy =
            when (val lookup = PolicyRegistry.placement(policyName)) {
                is PlacementLookup.Found -> lookup.policy
                is PlacementLookup.Unknown -> error(lookup.message)
            }
        val random = Well19937c(1)
        candidates = List(upstreams) { candidate(it, usedSlots = random.nextInt(SLOTS + 1)) }
    }

    /** Chooses one upstream; the return type is not the value class, whose mangled names JMH rejects. */
    @Benchmark
    public fun choose(): Any? = policy.choose(need, candidates)

    private fun candidate(
        index: Int,
        usedSlots: Int,
    ): Candidate =
        Candidate(
            upstream = UpstreamId("u$index"),
            capacity = capacity,
            free = capacity - need * usedSlots,
            rack = "rack-${index / RACK}",
            failureDomain = "fd-${index % FAILURE_DOMAINS}",
            running = usedSlots,
            sameWorkload = usedSlots / 2,
        )

    private companion object {
        const val SLOTS = 8
        const val RACK = 8
        const val FAILURE_DOMAINS = 17
        val capacity = Resources(64_000, 256 * 1024, slots = SLOTS, connections = 64)
        val need = Resources(4_000, 8 * 1024, slots = 1, connections = 1)
    }
}
