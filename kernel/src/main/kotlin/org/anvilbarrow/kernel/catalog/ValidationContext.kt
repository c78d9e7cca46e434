package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState

/** What a declared object is checked against. */
public data class ValidationContext(
    val catalog: Catalog,
    /** The VM list as last read, or null if it could not be read; a VM has the name of its upstream. */
    val vms: List<VmEntry>? = null,
    /** Regions that a shard may be in; empty if every region is accepted. */
    val regions: Set<String> = emptySet(),
    /** Placement policies that a workload may name; empty if every name is accepted. */
    val placementPolicies: Set<String> = emptySet(),
) {
    internal fun isListed(vm: String): Boolean = vms.orEmpty().any { it.name == vm }

    internal fun isLive(vm: String): Boolean = vms.orEmpty().any { it.name == vm && it.state == VmState.LIVE }
}
