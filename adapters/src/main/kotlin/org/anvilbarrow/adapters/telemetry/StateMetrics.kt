package org.anvilbarrow.adapters.telemetry

import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.anvilbarrow.kernel.core.SchedulerState
import java.time.Instant

/** Gauges of what a scheduler owns and holds. */
internal class StateMetrics(
    registry: PrometheusRegistry,
) {
    private val homeShards = gauge(registry, "anvilbarrow_home_shards", "Shards to whose request ids this is home.")
    private val upstreams = gauge(registry, "anvilbarrow_owned_upstreams", "Upstreams whose lease is held.")
    private val committedSlots = gauge(registry, "anvilbarrow_committed_slots", "Slots committed to tasks.")
    private val exchanges = gauge(registry, "anvilbarrow_open_exchanges", "Requests without an outcome.")
    private val queued = gauge(registry, "anvilbarrow_queued_requests", "Requests that wait here as their home.")

    fun observe(
        state: SchedulerState,
        now: Instant,
    ) {
        homeShards.set(state.homeShards(now).size.toDouble())
        upstreams.set(state.ownedUpstreams(now).size.toDouble())
        committedSlots.set(state.committed.slots.toDouble())
        exchanges.set(state.openExchanges.toDouble())
        queued.set(state.queuedRequests.toDouble())
    }

    private fun gauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
    ): Gauge =
        Gauge
            .builder()
            .name(name)
            .help(help)
            .register(registry)
}
