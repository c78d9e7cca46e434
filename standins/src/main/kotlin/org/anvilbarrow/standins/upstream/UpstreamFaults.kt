package org.anvilbarrow.standins.upstream

import kotlinx.serialization.Serializable
import org.anvilbarrow.standins.http.ConnectionFaults

/**
 * Faults of an upstream; `PUT /v1/faults` replaces all of them.
 *
 * ```
 * {"failTasks": true, "connection": {"addedLatencyMillis": 100}}
 * {"leaving": true}
 * ```
 */
@Serializable
public data class UpstreamFaults(
    val connection: ConnectionFaults = ConnectionFaults(),
    /** Every task is started, runs for its time, and fails. */
    val failTasks: Boolean = false,
    /** Lease replies say that the upstream is about to leave. */
    val leaving: Boolean = false,
)
