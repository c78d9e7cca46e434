package org.anvilbarrow.adapters.telemetry

import org.anvilbarrow.adapters.peer.PeerAddress
import org.anvilbarrow.adapters.settings.SpanChoice
import org.anvilbarrow.protocol.model.SchedulerId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.matches
import strikt.assertions.startsWith
import java.time.Duration

class TelemetryTest {
    /** Guards against a trace that falls apart at a hop, and against spans that nobody asked for. */
    @ParameterizedTest
    @CsvSource("SAMPLED, 01, 01", "SAMPLED, 00, 00", "ALL, 00, 01")
    fun `a hop stays in its caller's trace and keeps or sets the sampled flag`(
        choice: SpanChoice,
        flags: String,
        expected: String,
    ) {
        val caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-$flags"
        Tracing(choice).use { tracing ->
            expectThat(tracing.start("ingress", caller).traceparent).isNotNull().and {
                startsWith("00-0af7651916cd43dd8448eb211c80319c-")
                endsWith("-$expected")
                isNotEqualTo(caller)
            }
        }
    }

    /** Guards against requests without a trace context that share a trace or are sampled unasked; 02 is no sample. */
    @Test
    fun `a request without a trace starts one that is not sampled`() {
        Tracing(SpanChoice.SAMPLED).use { tracing ->
            expectThat(tracing.start("ingress", null).traceparent).isNotNull().and {
                matches(Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-0[02]"))
                isNotEqualTo(tracing.start("ingress", null).traceparent)
            }
        }
    }

    /** Guards against requests that fail because spans are switched off. */
    @Test
    fun `without spans a trace context is passed on as it is`() {
        val caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        Tracing(SpanChoice.NONE).use { tracing ->
            expectThat(tracing.start("ingress", caller).traceparent).isEqualTo(caller)
            expectThat(tracing.start("ingress", null).traceparent).isNull()
        }
    }

    /** Guards against paid traffic between regions that is counted for the wrong pair. */
    @Test
    fun `metrics count bytes by pair of regions and waiting time by workload`() {
        val peer = SchedulerId("b")
        val metrics = SchedulerMetrics("lappi-a", listOf(PeerAddress(peer, "10.0.0.5", 7_300, "varsinais-a")))
        metrics.sent(peer, 10)
        metrics.received(peer, 20)
        metrics.started("map-tiles", Duration.ofMillis(4))
        expectThat(metrics.render()) {
            contains("""peer_bytes_total{direction="sent",from_region="lappi-a",to_region="varsinais-a"} 10.0""")
            contains("""peer_bytes_total{direction="received",from_region="varsinais-a",to_region="lappi-a"} 20.0""")
            contains("""waiting_seconds_bucket{workload="map-tiles",le="0.005"} 1""")
        }
    }
}
