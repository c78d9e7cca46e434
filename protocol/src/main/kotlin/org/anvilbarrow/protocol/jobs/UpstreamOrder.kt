package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** A command from the owner of a shard to an upstream; answered by exactly one [UpstreamReport]. */
@Serializable
public sealed interface UpstreamOrder {
    public val upstream: UpstreamId

    /** Address of the upstream's API, as `host:port`. */
    public val address: String

    /** Fencing token; an upstream rejects orders whose token is lower than the highest it has seen. */
    public val token: Long

    /** Queries the runs of an upstream, renews its leases and acknowledges ended runs. */
    @Serializable
    @SerialName("observe")
    public data class Observe(
        override val upstream: UpstreamId,
        override val address: String,
        override val token: Long,
        /** Ended runs up to this number are stored durably, so the upstream may drop them. */
        val acknowledgeUpTo: Long,
        /** New expiry of the leases in milliseconds of the upstream's clock, or null to leave it unchanged. */
        val leaseUntilMillis: Long?,
        /** Long-poll timeout: how long the upstream may wait for a run to end before it answers. */
        val waitMillis: Long,
    ) : UpstreamOrder {
        /** [waitMillis] as a duration. */
        val wait: Duration get() = Duration.ofMillis(waitMillis)
    }

    /** Starts a run of a task. */
    @Serializable
    @SerialName("start")
    public data class Start(
        override val upstream: UpstreamId,
        override val address: String,
        override val token: Long,
        val task: TaskRef,
        val run: Long,
        val payload: String,
        /** Expiry of the lease in milliseconds of the upstream's clock; an order that arrives later has no effect. */
        val leaseUntilMillis: Long,
        val checkpoint: String?,
        val ticket: String?,
    ) : UpstreamOrder

    /** Stops a run; if it has not started yet, it is prevented from starting. */
    @Serializable
    @SerialName("stop")
    public data class Stop(
        override val upstream: UpstreamId,
        override val address: String,
        override val token: Long,
        val task: TaskRef,
        val run: Long,
    ) : UpstreamOrder
}
