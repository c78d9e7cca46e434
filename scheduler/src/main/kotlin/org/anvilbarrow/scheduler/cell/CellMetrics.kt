package org.anvilbarrow.scheduler.cell

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.anvilbarrow.adapters.http.MetricsText
import org.anvilbarrow.adapters.telemetry.text
import org.anvilbarrow.kernel.jobs.Cell
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status

/** Gauges and counters for the shards that a process owns, in the Prometheus text format. */
internal class CellMetrics(
    private val controllers: List<ShardController>,
) {
    /** Created on the first scrape, so that it takes no CPU time from a takeover while the process starts. */
    private val registry by lazy {
        PrometheusRegistry().apply {
            gauge("anvilbarrow_owned_shards", "Shards that this process owns.") { controllers.count { it.isOwner } }
            gauge("anvilbarrow_open_jobs", "Jobs of the owned shards that are not finished.") { sum { it.openJobs } }
            gauge("anvilbarrow_open_runs", "Runs whose end is not known.") { sum { it.openRuns } }
            gauge("anvilbarrow_pending_jobs", "Jobs that callers are told are pending.") { sum { it.pendingJobs } }
            gauge("anvilbarrow_unconfirmed_jobs", "Open jobs whose only start orders are not confirmed.") {
                sum { it.unconfirmedJobs }
            }
            gauge("anvilbarrow_unconfirmed_starts", "Runs that were ordered and are not confirmed.") {
                sum { it.unconfirmedStarts }
            }
            gauge("anvilbarrow_waiting_steps", "Steps that wait for room or advice.") { sum { it.waitingSteps } }
            gauge("anvilbarrow_slow_upstreams", "Upstreams learned to be slower than the average.") {
                sum { it.slowUpstreams }
            }
            gauge("anvilbarrow_fast_upstreams", "Upstreams learned to be faster than the average.") {
                sum { it.fastUpstreams }
            }
            counter("anvilbarrow_upstream_crashes", "Upstreams that restarted or vanished without notice.") {
                total { it.crashedUpstreams }
            }
            counter("anvilbarrow_lost_runs", "Runs that ended with an unknown result.") { total { it.lostRuns } }
        }
    }

    /** Serves `/metrics` and passes all other requests to [probe]. */
    fun routes(probe: HttpHandler): HttpHandler =
        { request ->
            if (request.uri.path == "/metrics") {
                Response(Status.OK).header("Content-Type", MetricsText.CONTENT_TYPE).body(registry.text())
            } else {
                probe(request)
            }
        }

    private fun sum(of: (Cell) -> Int): Int = controllers.sumOf { it.owned?.let(of) ?: 0 }

    private fun total(of: (Cell) -> Long): Long = controllers.sumOf { it.owned?.let(of) ?: 0 }

    /** The count restarts with each takeover of a shard. */
    private fun PrometheusRegistry.counter(
        name: String,
        help: String,
        value: () -> Long,
    ) {
        CounterWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(this)
    }

    private fun PrometheusRegistry.gauge(
        name: String,
        help: String,
        value: () -> Int,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(this)
    }
}
