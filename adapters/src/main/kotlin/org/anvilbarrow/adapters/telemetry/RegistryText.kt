package org.anvilbarrow.adapters.telemetry

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Returns the present values in Prometheus' text format. */
public fun PrometheusRegistry.text(): String {
    val bytes = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(bytes, scrape())
    return bytes.toString(Charsets.UTF_8)
}
