package org.anvilbarrow.kernel.policy

import org.anvilbarrow.kernel.placement.PlacementPolicy
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.model.WorkloadSpec
import java.util.ServiceLoader

/**
 * The policies that workloads may select by name.
 *
 * The policies on the class path are used by:
 * ```
 * when (val lookup = PolicyRegistry.placementOf(workload)) {
 *     is PlacementLookup.Found -> lookup.policy.choose(need, candidates)
 *     is PlacementLookup.Unknown -> refuse(lookup.message)
 * }
 * ```
 */
public class PolicyRegistry private constructor(
    private val placements: Map<String, PlacementPolicy>,
) {
    /** Returns the placement policy called [name]. */
    public fun placement(name: String): PlacementLookup =
        placements[name]?.let { PlacementLookup.Found(it) }
            ?: PlacementLookup.Unknown(name, placements.keys.sorted())

    /** Returns the placement policy that [workload] selects, or else the default of its kind. */
    public fun placementOf(workload: WorkloadSpec): PlacementLookup =
        placement(workload.placementPolicy ?: defaultPlacementName(workload.workloadKind))

    public companion object {
        private val installed: PolicyRegistry by lazy {
            when (val result = load(PolicyRegistry::class.java.classLoader)) {
                is PolicyRegistration.Complete -> result.registry
                is PolicyRegistration.DuplicateName -> error(result.message)
            }
        }

        /** Returns the placement policy called [name] among those on the class path. */
        public fun placement(name: String): PlacementLookup = installed.placement(name)

        /** Returns the placement policy on the class path that [workload] selects, or the default of its kind. */
        public fun placementOf(workload: WorkloadSpec): PlacementLookup = installed.placementOf(workload)

        /** Names of the placement policies on the class path. */
        public val placementNames: Set<String> get() = installed.placements.keys

        /** Returns the name of the placement policy of workloads of [kind] that select none. */
        public fun defaultPlacementName(kind: WorkloadKind): String =
            when (kind) {
                WorkloadKind.SERVICE -> "spread"
                WorkloadKind.BATCH -> "pack"
                WorkloadKind.GANG -> "gang"
            }

        /** Registers every policy that [classLoader] finds; a scheduler does this at its start to report errors. */
        public fun load(classLoader: ClassLoader): PolicyRegistration =
            of(ServiceLoader.load(PlacementPolicy::class.java, classLoader).toList())

        /** Registers [placements]. */
        public fun of(placements: List<PlacementPolicy>): PolicyRegistration {
            val byName = LinkedHashMap<String, PlacementPolicy>()
            for (policy in placements) {
                val earlier = byName.putIfAbsent(policy.name, policy) ?: continue
                return PolicyRegistration.DuplicateName(policy.name, classNameOf(earlier), classNameOf(policy))
            }
            return PolicyRegistration.Complete(PolicyRegistry(byName))
        }

        private fun classNameOf(policy: PlacementPolicy): String = policy.javaClass.name
    }
}
