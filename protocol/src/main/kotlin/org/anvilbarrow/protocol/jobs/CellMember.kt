package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.Serializable

/** A process of a cell and the properties of its VM. */
@Serializable
public data class CellMember(
    /** Address at which peers reach the process, as `host:port`. */
    val address: String,
    val region: String,
    val failureDomain: String,
    /** CPU cores available to the process. */
    val cores: Double,
)
