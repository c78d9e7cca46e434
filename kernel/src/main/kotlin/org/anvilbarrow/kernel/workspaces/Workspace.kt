package org.anvilbarrow.kernel.workspaces

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf

/** A team that shares the cell with others: its API keys, its share and its limit. */
public data class Workspace(
    val name: String,
    val keys: ImmutableSet<ApiKeyDigest> = persistentSetOf(),
    /** Jobs per second that the workspace is entitled to, and its share of a full cell relative to the others. */
    val weight: Double = 1.0,
    /** What the tasks of the workspace may use at one time on all upstreams together. */
    val limit: ResourceTotals = ResourceTotals.UNLIMITED,
)
