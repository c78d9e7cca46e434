package org.anvilbarrow.benchmarks.measure

import java.lang.management.ManagementFactory

/** Reads elapsed and processor time of the machine that runs the benchmark. */
internal object ProcessorClock {
    private val threads = ManagementFactory.getThreadMXBean()

    fun elapsedNanos(): Long = System.nanoTime()

    fun threadCpuNanos(): Long = threads.currentThreadCpuTime
}
