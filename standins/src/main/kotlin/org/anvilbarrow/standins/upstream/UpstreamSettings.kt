package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.Resources
import java.time.Duration

/** Times and size of an upstream. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class UpstreamSettings(
    /** Longest lease that is granted, and how long nothing is granted after a restart. */
    val leaseTtl: Duration = Duration.ofSeconds(3),
    /** How long tasks go on running while no scheduler holds the lease. */
    val taskTtl: Duration = Duration.ofSeconds(20),
    /** What the audit compares the committed use with; an overfill is recorded but not refused. */
    val capacity: Resources =
        Resources(cpuMillicores = 64_000, memoryMebibytes = 262_144, accelerators = 0, slots = 8, connections = 64),
    /** How long before a lease reply the usage in it was measured. */
    val usageLag: Duration = Duration.ofSeconds(5),
    /** Measured use as a share of the declared resources of the running tasks. */
    val usagePercentOfDeclared: Int = 100,
)
