package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.Serializable

/** A process of a cell and the VM that it runs on. */
@Serializable
public data class CellMember(
    /** Address at which peers reach the process, as `host:port`. */
    val address: String,
    val region: String,
    val failureDomain: String,
    /** Processor time that the VM gives the process, in cores. */
    val cores: Double,
)
