package org.anvilbarrow.adapters.telemetry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter

private val log = KotlinLogging.logger("anvilbarrow.trace")

/** Writes every finished span as one log line, from which any collector can take it. */
internal class SpanLog : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { span -> log.info { line(span) } }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun line(span: SpanData): String {
        val attributes =
            span.attributes
                .asMap()
                .entries
                .joinToString("") { (key, value) -> " ${key.key}=$value" }
        val micros = (span.endEpochNanos - span.startEpochNanos) / NANOS_PER_MICRO
        val ids = "trace=${span.traceId} id=${span.spanId} parent=${span.parentSpanId}"
        return "span ${span.name} $ids us=$micros$attributes"
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000
    }
}
