package org.anvilbarrow.adapters.settings

import kotlinx.collections.immutable.ImmutableMap
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.workspaces.AccessBounds
import java.time.Duration

/** Settings of a process that serves durable jobs. */
public data class CellSettings(
    /** Name of the VM. */
    val vm: String,
    val region: String,
    val failureDomain: String,
    /** Processor time that the VM gives the process, in cores. */
    val cores: Double,
    /** Region of each failure domain of the cell. */
    val regions: ImmutableMap<String, String>,
    /** Where callers connect. */
    val callers: ListenAddress,
    /** Where readiness probes connect. */
    val probes: ListenAddress,
    /** Where operators read metrics. */
    val operators: ListenAddress,
    /** Where the other processes of the cell connect. */
    val peers: ListenAddress,
    /** Address of the platform's store, as `host:port`. */
    val store: String,
    /** Address of the advice service, as `host:port`, or null if there is none. */
    val advice: String?,
    /** Number of shards; the same on every VM and for the life of the cell. */
    val shards: Int,
    /** Time between SIGTERM and SIGKILL. */
    val stopGrace: Duration,
    val limits: CellLimits,
    /** Ages of a configuration up to which it decides on API keys. */
    val accessBounds: AccessBounds,
    /** Lines of each kind that the decision log may write in a second. */
    val logLinesPerSecond: Int,
)
