package org.anvilbarrow.adapters.telemetry

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.samplers.Sampler
import org.anvilbarrow.adapters.settings.SpanChoice

/**
 * Starts a span for each hop of a request and passes the W3C trace context on.
 *
 * ```
 * val hop = tracing.start("ingress", request.traceparent)
 * send(request.copy(traceparent = hop.traceparent))
 * hop.end("answered")
 * ```
 */
public class Tracing(
    choice: SpanChoice,
) : AutoCloseable {
    private val provider =
        SdkTracerProvider
            .builder()
            .setSampler(if (choice == SpanChoice.ALL) Sampler.alwaysOn() else Sampler.parentBased(Sampler.alwaysOff()))
            .apply { if (choice != SpanChoice.NONE) addSpanProcessor(BatchSpanProcessor.builder(SpanLog()).build()) }
            .build()
    private val tracer = provider.get("anvilbarrow")

    /** Starts the span [name] as a child of the span that [traceparent] names, or as the first of a new trace. */
    public fun start(
        name: String,
        traceparent: String?,
    ): Hop {
        val root = Context.root()
        val parent = traceparent?.let { PROPAGATOR.extract(root, it, TraceparentGetter) } ?: root
        return Hop(tracer.spanBuilder(name).setParent(parent).startSpan())
    }

    override fun close(): Unit = provider.close()

    /** A span of one hop. */
    public class Hop internal constructor(
        private val span: Span,
    ) {
        /**
         * Trace context that names this span as the parent.
         *
         * Without recorded spans it is that of the caller, or null if the caller sent none.
         */
        public val traceparent: String?
            get() {
                val headers = HashMap<String, String>()
                PROPAGATOR.inject(
                    Context.root().with(span),
                    headers,
                ) { carrier, key, value -> carrier?.set(key, value) }
                return headers[TRACEPARENT]
            }

        /** Adds an attribute. */
        public fun note(
            key: String,
            value: String,
        ): Hop = apply { span.setAttribute(key, value) }

        /** Ends the span with its result. */
        public fun end(result: String) {
            note("result", result)
            span.end()
        }
    }

    private object TraceparentGetter : TextMapGetter<String> {
        @Suppress("OVERRIDE_DEPRECATION") // Still abstract in this version of the library.
        override fun keys(carrier: String): Iterable<String> = listOf(TRACEPARENT)

        override fun get(
            carrier: String?,
            key: String,
        ): String? = carrier.takeIf { key == TRACEPARENT }
    }

    private companion object {
        const val TRACEPARENT = "traceparent"
        val PROPAGATOR: W3CTraceContextPropagator = W3CTraceContextPropagator.getInstance()
    }
}
