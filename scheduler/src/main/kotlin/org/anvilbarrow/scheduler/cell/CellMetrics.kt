package org.anvilbarrow.scheduler.cell

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.anvilbarrow.kernel.jobs.Cell
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayOutputStream

/** Gauges of what a process owns, in Prometheus' text format. */
internal class CellMetrics(
    private val seats: List<ShardSeat>,
) {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    init {
        gauge("anvilbarrow_owned_shards", "Shards that this process owns.") { seats.count { it.isOwner } }
        gauge("anvilbarrow_open_jobs", "Jobs of the owned shards that are not finished.") { sum { it.openJobs } }
        gauge("anvilbarrow_open_runs", "Runs whose end is not known.") { sum { it.openRuns } }
        gauge("anvilbarrow_waiting_steps", "Steps that wait for room or advice.") { sum { it.waitingSteps } }
    }

    /** Serves the metrics beside [probe]. */
    fun routes(probe: HttpHandler): HttpHandler =
        { request ->
            if (request.uri.path == "/metrics") {
                Response(Status.OK).header("Content-Type", TEXT_FORMAT).body(text())
            } else {
                probe(request)
            }
        }

    private fun text(): String {
        val bytes = ByteArrayOutputStream()
        writer.write(bytes, registry.scrape())
        return bytes.toString(Charsets.UTF_8)
    }

    private fun sum(of: (Cell) -> Int): Int = seats.sumOf { it.owned?.let(of) ?: 0 }

    private fun gauge(
        name: String,
        help: String,
        value: () -> Int,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    private companion object {
        const val TEXT_FORMAT = "text/plain; version=0.0.4; charset=utf-8"
    }
}
