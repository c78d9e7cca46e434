package org.anvilbarrow.benchmarks.simulation

import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.cell.Place
import org.anvilbarrow.benchmarks.measure.ControlCost
import org.anvilbarrow.benchmarks.measure.Endpoint

/** Delivers messages after the delays of section 2.3 and counts control messages. */
internal class Network(
    private val shape: CellShape,
    private val timeline: Timeline,
) {
    val cost: ControlCost = ControlCost()

    fun send(
        kind: String,
        from: Endpoint,
        to: Endpoint,
        payloadBytes: Int,
        deliver: () -> Unit,
    ) {
        cost.count(kind, from, to, payloadBytes)
        timeline.after(delayMicros(from.place, to.place), deliver)
    }

    fun delayMicros(
        from: Place,
        to: Place,
    ): Long =
        when {
            from.region != to.region -> CellShape.REGION_DELAY_MICROS
            from.failureDomain != to.failureDomain -> shape.domainDelayMicros
            else -> CellShape.LOCAL_DELAY_MICROS
        }
}
