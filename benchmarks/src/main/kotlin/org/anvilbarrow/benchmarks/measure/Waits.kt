package org.anvilbarrow.benchmarks.measure

import org.HdrHistogram.Histogram
import org.anvilbarrow.benchmarks.workload.WaitClass

/** Times from request to start, and how many requests of each class ended in which way. */
internal class Waits {
    private val histograms = WaitClass.entries.associateWith { Histogram(SIGNIFICANT_DIGITS) }
    private val counts = WaitClass.entries.associateWith { Counts() }

    fun started(
        waitClass: WaitClass,
        waitMicros: Long,
    ) {
        histograms.getValue(waitClass).recordValue(waitMicros)
        counts.getValue(waitClass).started++
    }

    fun offered(waitClass: WaitClass) {
        counts.getValue(waitClass).offered++
    }

    fun refused(waitClass: WaitClass) {
        counts.getValue(waitClass).refused++
    }

    fun unknown(waitClass: WaitClass) {
        counts.getValue(waitClass).unknown++
    }

    fun of(waitClass: WaitClass): Histogram = histograms.getValue(waitClass)

    fun countsOf(waitClass: WaitClass): Counts = counts.getValue(waitClass)

    val started: Long get() = counts.values.sumOf { it.started }

    /** Requests of one class. */
    data class Counts(
        var offered: Long = 0,
        var started: Long = 0,
        var refused: Long = 0,
        var unknown: Long = 0,
    )

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
    }
}
