package org.anvilbarrow.kernel.core

import org.anvilbarrow.protocol.model.SchedulerId

/** Who a scheduler process is and where it runs. */
public data class SchedulerIdentity(
    val id: SchedulerId,
    /** Differs for every start of a process. */
    val incarnation: Long,
    val region: String,
    val failureDomain: String,
)
