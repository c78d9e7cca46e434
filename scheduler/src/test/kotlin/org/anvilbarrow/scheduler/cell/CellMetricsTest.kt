package org.anvilbarrow.scheduler.cell

import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains

/** Guards against gauges that docs/OPERATIONS.md names and `/metrics` lacks. */
internal class CellMetricsTest {
    @ParameterizedTest
    @ValueSource(
        strings = ["anvilbarrow_pending_jobs", "anvilbarrow_unconfirmed_jobs", "anvilbarrow_unconfirmed_starts"],
    )
    fun `a process without a shard reports zero`(gauge: String) {
        val routes = CellMetrics(emptyList()).routes { Response(Status.NOT_FOUND) }
        expectThat(routes(Request(Method.GET, "/metrics")).bodyString()).contains("\n$gauge 0.0\n")
    }
}
