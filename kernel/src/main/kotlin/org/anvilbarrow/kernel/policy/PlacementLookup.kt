package org.anvilbarrow.kernel.policy

import org.anvilbarrow.kernel.placement.PlacementPolicy

/** Result of looking up a placement policy. */
public sealed interface PlacementLookup {
    /** The policy is registered. */
    public data class Found(
        val policy: PlacementPolicy,
    ) : PlacementLookup

    /** No policy is called [name]; [known] lists the names that are. */
    public data class Unknown(
        val name: String,
        val known: List<String>,
    ) : PlacementLookup {
        /** One line for operators. */
        val message: String
            get() = "placement policy \"$name\" does not exist; known: ${known.joinToString()}"
    }
}
