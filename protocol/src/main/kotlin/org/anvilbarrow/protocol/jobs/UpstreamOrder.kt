package org.anvilbarrow.protocol.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** An order of the owner of a shard to one upstream; answered once by an [UpstreamReport]. */
@Serializable
public sealed interface UpstreamOrder {
    public val upstream: UpstreamId

    /** Address of the upstream's interface, as `host:port`. */
    public val address: String

    /** Fencing token; an upstream rejects orders with a lower token than the highest that it has seen. */
    public val token: Long

    /** Looks at an upstream, renews its leases and acknowledges its ends. */
    @Serializable
    @SerialName("observe")
    public data class Observe(
        override val upstream: UpstreamId,
        override val address: String,
        override val token: Long,
        /** Ends up to this number are stored and may be forgotten. */
        val acknowledgeUpTo: Long,
        /** New end of the leases on the upstream's clock in milliseconds, or null to leave them as they are. */
        val leaseUntilMillis: Long?,
        /** How long the upstream may wait for an end before it answers, in milliseconds. */
        val waitMillis: Long,
    ) : UpstreamOrder {
        /** How long the upstream may wait for an end before it answers. */
        val wait: Duration get() = Duration.ofMillis(waitMillis)
    }

    /** Starts a run. */
    @Serializable
    @SerialName("start")
    public data class Start(
        override val upstream: UpstreamId,
        override val address: String,
        override val token: Long,
        val task: TaskRef,
        val run: Long,
        val payload: String,
        /** End of the lease on the upstream's clock in milliseconds; an order that arrives later has no effect. */
        val leaseUntilMillis: Long,
        val checkpoint: String?,
        val ticket: String?,
    ) : UpstreamOrder

    /** Stops a run, also one that would start later. */
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
