package org.anvilbarrow.adapters.telemetry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.anvilbarrow.adapters.http.MetricsText
import org.anvilbarrow.adapters.peer.PeerAddress
import org.anvilbarrow.adapters.peer.PeerTraffic
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.SchedulerId
import java.time.Duration
import java.time.Instant

/** Prometheus metrics of one scheduler process. */
@Suppress("SpreadOperator") // The histogram builder takes its bounds only as separate arguments.
public class SchedulerMetrics(
    private val region: String,
    peers: List<PeerAddress> = emptyList(),
) : PeerTraffic,
    MetricsText {
    private val registry = PrometheusRegistry()
    private val regions = peers.associate { it.id to it.region }

    private val waiting =
        Histogram
            .builder()
            .name("anvilbarrow_waiting_seconds")
            .help("Time from the arrival of a request to the start of its tasks.")
            .labelNames("workload")
            .classicOnly()
            .classicUpperBounds(*WAITING_BOUNDS)
            .register(registry)
    private val outcomes =
        Counter
            .builder()
            .name("anvilbarrow_outcomes_total")
            .help("Requests by outcome and reason.")
            .labelNames("outcome", "reason")
            .register(registry)
    private val grants =
        Counter
            .builder()
            .name("anvilbarrow_grants_total")
            .help("Grants that were used, by how the task ended.")
            .labelNames("result")
            .register(registry)
    private val steps =
        Histogram
            .builder()
            .name("anvilbarrow_step_seconds")
            .help("Time that the control thread spent on one event.")
            .classicOnly()
            .classicUpperBounds(*STEP_BOUNDS)
            .register(registry)
    private val failedSteps =
        Counter
            .builder()
            .name("anvilbarrow_failed_steps_total")
            .help("Events that the kernel failed to handle; its state stayed as it was.")
            .register(registry)
    private val messages =
        Counter
            .builder()
            .name("anvilbarrow_peer_messages_total")
            .help("Peer messages by direction and pair of regions.")
            .labelNames("direction", "from_region", "to_region")
            .register(registry)
    private val bytes =
        Counter
            .builder()
            .name("anvilbarrow_peer_bytes_total")
            .help("Bytes of peer messages by direction and pair of regions.")
            .labelNames("direction", "from_region", "to_region")
            .register(registry)
    private val dropped =
        Counter
            .builder()
            .name("anvilbarrow_peer_dropped_total")
            .help("Peer messages dropped because a queue was full or the message too long.")
            .labelNames("to_region")
            .register(registry)
    private val events =
        Gauge
            .builder()
            .name("anvilbarrow_queued_events")
            .help("Events that wait for the control thread.")
            .register(registry)
    private val gauges = StateMetrics(registry)

    /** A task of [workload] was started [wait] after its request arrived. */
    public fun started(
        workload: String,
        wait: Duration,
    ): Unit = waiting.labelValues(workload).observe(wait.toNanos() / NANOS_PER_SECOND)

    /** A request got its outcome. */
    public fun outcome(
        outcome: String,
        reason: String,
    ): Unit = outcomes.labelValues(outcome, reason).inc()

    /** A granted task ended. */
    public fun taskEnded(result: String): Unit = grants.labelValues(result).inc()

    /** The control thread handled one event in [time] and [queued] more wait. */
    public fun step(
        time: Duration,
        queued: Int,
    ) {
        steps.observe(time.toNanos() / NANOS_PER_SECOND)
        events.set(queued.toDouble())
    }

    /** What the scheduler owns and holds at [now]. */
    public fun state(
        state: SchedulerState,
        now: Instant,
    ): Unit = gauges.observe(state, now)

    /** The kernel failed to handle an event. */
    public fun stepFailed(): Unit = failedSteps.inc()

    override fun sent(
        peer: SchedulerId,
        bytes: Int,
    ): Unit = count("sent", region, regionOf(peer), bytes)

    override fun received(
        peer: SchedulerId,
        bytes: Int,
    ): Unit = count("received", regionOf(peer), region, bytes)

    override fun dropped(peer: SchedulerId): Unit = dropped.labelValues(regionOf(peer)).inc()

    override fun render(): String = registry.text()

    private fun count(
        direction: String,
        from: String,
        to: String,
        size: Int,
    ) {
        messages.labelValues(direction, from, to).inc()
        bytes.labelValues(direction, from, to).inc(size.toLong())
    }

    private fun regionOf(peer: SchedulerId): String = regions[peer] ?: "unknown"

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        /** The bounds around 1 ms, 5.9 s and hours are those that the users ask about. */
        val WAITING_BOUNDS = doubleArrayOf(0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 3.0, 5.9, 30.0, 300.0, 3600.0)
        val STEP_BOUNDS = doubleArrayOf(0.00001, 0.0001, 0.0005, 0.001, 0.002, 0.01, 0.1)
    }
}
