package org.anvilbarrow.protocol.upstream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId

/** Asks an upstream for its lease, or renews it; `POST /v1/lease`. */
@Serializable
public data class LeaseRequest(
    val scheduler: SchedulerId,
    val schedulerIncarnation: Long,
    /** Epoch of the lease to renew, or 0 to ask for a new one. */
    val epoch: Long,
    val ttlMillis: Long,
)

/** Gives a lease back, so that the next scheduler need not wait for it to lapse; `POST /v1/lease/release`. */
@Serializable
public data class LeaseRelease(
    val scheduler: SchedulerId,
    val epoch: Long,
)

/** A task that runs on an upstream. */
@Serializable
public data class RunningTask(
    val task: TaskId,
    /** Resources that its instruction declared. */
    val resources: Resources,
)

/** Use measured by the upstream, some time before the reply that carries it. */
@Serializable
public data class UsageReport(
    val measuredAtUpstreamMillis: Long,
    val cpuMillicores: Int,
    val memoryMebibytes: Int,
)

/** Answer of an upstream to a [LeaseRequest]. */
@Serializable
public sealed interface LeaseReply {
    /** The lease is held by the asking scheduler. */
    @Serializable
    @SerialName("granted")
    public data class Granted(
        val epoch: Long,
        val upstreamIncarnation: Long,
        /** The upstream's own clock when it wrote this reply and listed [running]. */
        val upstreamClockMillis: Long,
        val running: List<RunningTask>,
        /** True if the upstream itself knows that it is about to leave. */
        val leaving: Boolean = false,
        val usage: UsageReport? = null,
    ) : LeaseReply

    /** Another scheduler holds the lease, or the upstream has just started. */
    @Serializable
    @SerialName("denied")
    public data class Denied(
        val holder: SchedulerId?,
        val expiresInMillis: Long,
    ) : LeaseReply
}
