package org.anvilbarrow.scheduler.cell

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.anvilbarrow.adapters.http.MetricsText
import org.anvilbarrow.adapters.telemetry.text
import org.anvilbarrow.kernel.jobs.Cell
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status

/** Gauges of what a process owns, in Prometheus' text format. */
internal class CellMetrics(
    private val seats: List<ShardSeat>,
) {
    /** Set up for the first reader: at the start of a process, a takeover may wait for the processor. */
    private val registry by lazy {
        PrometheusRegistry().apply {
            gauge("anvilbarrow_owned_shards", "Shards that this process owns.") { seats.count { it.isOwner } }
            gauge("anvilbarrow_open_jobs", "Jobs of the owned shards that are not finished.") { sum { it.openJobs } }
            gauge("anvilbarrow_open_runs", "Runs whose end is not known.") { sum { it.openRuns } }
            gauge("anvilbarrow_waiting_steps", "Steps that wait for room or advice.") { sum { it.waitingSteps } }
        }
    }

    /** Serves the metrics beside [probe]. */
    fun routes(probe: HttpHandler): HttpHandler =
        { request ->
            if (request.uri.path == "/metrics") {
                Response(Status.OK).header("Content-Type", MetricsText.CONTENT_TYPE).body(registry.text())
            } else {
                probe(request)
            }
        }

    private fun sum(of: (Cell) -> Int): Int = seats.sumOf { it.owned?.let(of) ?: 0 }

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
