package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.AsyncHttpClient
import org.anvilbarrow.adapters.platform.PlatformClientLimits
import org.anvilbarrow.adapters.settings.CellSettings
import org.anvilbarrow.platform.FrontRoutes
import org.anvilbarrow.platform.PlatformAdvice
import org.anvilbarrow.platform.PlatformRecords
import org.anvilbarrow.platform.PlatformStore
import org.anvilbarrow.platform.PlatformUpstreams
import org.anvilbarrow.platform.ReadinessRoute
import java.time.Duration

private val CLIENT_LIMITS =
    PlatformClientLimits(
        connectTimeout = Duration.ofMillis(700),
        // New connections are paid for.
        idleTimeout = Duration.ofSeconds(60),
        maxConnectionsPerAddress = 16,
    )

/** Connects a process with [settings] to the operators' platform. */
internal fun platformPorts(settings: CellSettings): PlatformPorts {
    val http = AsyncHttpClient("platform", CLIENT_LIMITS)
    return PlatformPorts(
        PlatformStore(settings.store, http),
        PlatformUpstreams(http),
        PlatformAdvice(settings.advice ?: settings.store, http),
        PlatformRecords(settings.regions),
        ::FrontRoutes,
        ::ReadinessRoute,
    )
}
