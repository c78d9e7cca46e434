package org.anvilbarrow.kernel.placement

import org.anvilbarrow.kernel.policy.PlacementLookup
import org.anvilbarrow.kernel.policy.PolicyRegistry
import org.anvilbarrow.protocol.model.WorkloadSpec

/**
 * Returns the policy that [workload] selects.
 *
 * A name that this scheduler does not know falls back to the default of the workload's kind: a scheduler of an older
 * version may read a workload that a newer one accepted.
 */
internal fun placementPolicyOf(workload: WorkloadSpec): PlacementPolicy {
    val selected = PolicyRegistry.placementOf(workload)
    if (selected is PlacementLookup.Found) return selected.policy
    val name = PolicyRegistry.defaultPlacementName(workload.workloadKind)
    val default = PolicyRegistry.placement(name)
    check(default is PlacementLookup.Found) { "placement policy \"$name\" is not on the class path" }
    return default.policy
}
