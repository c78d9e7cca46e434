package org.anvilbarrow.benchmarks.simulation

import org.HdrHistogram.Histogram
import org.anvilbarrow.benchmarks.cell.Place
import org.anvilbarrow.benchmarks.measure.Endpoint
import org.anvilbarrow.benchmarks.measure.ProcessorClock
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.SchedulerIdentity
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.SchedulerId
import java.time.InstantSource

/** One scheduler process: the real kernel, with effects passed to [carryOut]. */
internal class SchedulerNode(
    val identity: SchedulerIdentity,
    peers: List<SchedulerId>,
    private val clock: InstantSource,
    private val kernel: Kernel,
    private val carryOut: (SchedulerNode, Effect) -> Unit,
) {
    val endpoint: Endpoint = Endpoint(identity.id.value, Place(identity.region, identity.failureDomain))
    var alive: Boolean = true
    var state: SchedulerState = kernel.start(identity, peers, clock.instant())
        private set

    /** Elapsed time of every step, by the type of its event. */
    val stepNanos: MutableMap<String, Histogram> = sortedMapOf()

    /** Elapsed time of all steps together. */
    var stepNanosTotal: Long = 0
        private set

    fun handle(event: Event) {
        if (!alive) return
        val before = ProcessorClock.elapsedNanos()
        val step = kernel.step(state, event, clock.instant())
        val nanos = ProcessorClock.elapsedNanos() - before
        stepNanosTotal += nanos
        stepNanos.getOrPut(kindOf(event)) { Histogram(SIGNIFICANT_DIGITS) }.recordValue(nanos)
        state = step.state
        step.effects.forEach { carryOut(this, it) }
    }

    private fun kindOf(event: Event): String =
        when (event) {
            is Event.PeerMessageReceived -> event.message.javaClass.simpleName
            else -> event.javaClass.simpleName
        }

    private companion object {
        const val SIGNIFICANT_DIGITS = 2
    }
}
