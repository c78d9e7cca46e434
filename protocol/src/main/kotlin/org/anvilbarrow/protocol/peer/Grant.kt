package org.anvilbarrow.protocol.peer

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Permission to start one task on one upstream, with committed capacity behind it.
 *
 * The upstream refuses it under another [leaseEpoch] or [upstreamIncarnation], or when its own clock is past
 * [startByUpstreamMillis]. A grant that is used late is therefore harmless.
 */
@Serializable
public data class Grant(
    val task: TaskId,
    val upstream: UpstreamId,
    val address: String,
    val owner: SchedulerId,
    val leaseEpoch: Long,
    val upstreamIncarnation: Long,
    val startByUpstreamMillis: Long,
    val resources: Resources,
)
