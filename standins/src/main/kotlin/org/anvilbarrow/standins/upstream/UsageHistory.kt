package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.upstream.UsageReport
import java.time.Duration
import java.time.Instant

/** Remembers the use of an upstream, to report it [lag] later. */
internal class UsageHistory(
    private val lag: Duration,
    private val percentOfDeclared: Int,
) {
    private val samples = ArrayDeque<Sample>()

    /** Notes that tasks with [declared] resources run from [now] on. */
    fun record(
        declared: Resources,
        now: Instant,
    ) {
        samples.addLast(Sample(now, declared))
        forgetBefore(now - lag)
    }

    /** Returns the use as it was [lag] before [now], or null if nothing was measured by then. */
    fun report(now: Instant): UsageReport? {
        val measuredAt = now - lag
        forgetBefore(measuredAt)
        return samples.firstOrNull()?.takeIf { it.at <= measuredAt }?.let {
            UsageReport(
                measuredAtUpstreamMillis = measuredAt.toEpochMilli(),
                cpuMillicores = measured(it.declared.cpuMillicores),
                memoryMebibytes = measured(it.declared.memoryMebibytes),
            )
        }
    }

    private fun measured(declared: Int): Int = (declared.toLong() * percentOfDeclared / PERCENT).toInt()

    private fun forgetBefore(instant: Instant) {
        while (samples.size > 1 && samples[1].at <= instant) samples.removeFirst()
    }

    private data class Sample(
        val at: Instant,
        val declared: Resources,
    )

    private companion object {
        const val PERCENT = 100
    }
}
