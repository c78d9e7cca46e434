package org.anvilbarrow.benchmarks.jmh

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OperationsPerInvocation
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** Cost of the kernel's steps for a scheduler that owns all upstreams, half of whose slots are in use. */
@State(Scope.Thread)
public open class KernelBenchmark {
    /** Number of owned upstreams. */
    @Param("33", "330", "1400")
    public var upstreams: Int = 0

    private lateinit var fixture: KernelFixture

    /** Takes all leases and fills half of the slots. */
    @Setup
    public fun prepare() {
        fixture = KernelFixture(upstreams)
    }

    /** From a request to the instruction that starts its task. */
    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public fun placement(): Any = fixture.place()

    /** Events per second of one thread: a request and the end of its task. */
    @Benchmark
    @BenchmarkMode(Mode.Throughput)
    @OutputTimeUnit(TimeUnit.SECONDS)
    @OperationsPerInvocation(2)
    public fun events(): Any = fixture.placeAndFinish()

    /** A tick in which nothing is due. */
    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public fun tick(): Any = fixture.tick()
}
