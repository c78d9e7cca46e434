package org.anvilbarrow.protocol.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The declared content of an object that operators manage. */
@Serializable
public sealed interface ResourceSpec

/** How the tasks of a workload relate to each other. */
@Serializable
public enum class WorkloadKind {
    /** Requests are served one by one and a caller waits for each. */
    @SerialName("service")
    SERVICE,

    /** Tasks may wait until their deadline and are packed tightly. */
    @SerialName("batch")
    BATCH,

    /** All tasks of a request start together or none does. */
    @SerialName("gang")
    GANG,
}

/** The order in which queued requests are considered. */
@Serializable
public enum class Urgency {
    @SerialName("urgent")
    URGENT,

    @SerialName("normal")
    NORMAL,

    @SerialName("deferrable")
    DEFERRABLE,
}

/** A workload: what one request of it needs and how it is treated. */
@Serializable
@SerialName("workload")
public data class WorkloadSpec(
    val workloadKind: WorkloadKind,
    /** Region whose upstreams serve this workload and whose shards are home to its request ids. */
    val region: String,
    /** Resources of one task. */
    val resources: Resources,
    /** Tasks per request; more than one only for gang workloads. */
    val tasks: Int = 1,
    /** True if running a request twice has the same effect as running it once. */
    val idempotent: Boolean = false,
    val urgency: Urgency = Urgency.NORMAL,
    /** Declared run time of one task; may be far off. */
    val expectedRunMillis: Long = DEFAULT_EXPECTED_RUN_MILLIS,
    val team: String = "default",
    /** Name of the placement policy, or null for the default of the workload's kind. */
    val placementPolicy: String? = null,
) : ResourceSpec {
    public companion object {
        /** Run time assumed for a workload that declares none. */
        public const val DEFAULT_EXPECTED_RUN_MILLIS: Long = 1_000
    }
}

/** An upstream: where it is, what it offers, and whether an operator is draining it. */
@Serializable
@SerialName("upstream")
public data class UpstreamSpec(
    /** Host and port as `10.0.0.7:8080`. */
    val address: String,
    val shard: ShardId,
    val rack: String,
    val failureDomain: String,
    val capacity: Resources,
    val draining: Boolean = false,
) : ResourceSpec

/** A shard: its region and the upstreams whose leases decide which scheduler is home to its request ids. */
@Serializable
@SerialName("shard")
public data class ShardSpec(
    val region: String,
    /** An odd number of upstreams; one is replaced only after its VM left the VM list. */
    val anchors: List<UpstreamId>,
) : ResourceSpec

/** A team and the most it may have committed at any time; null means no limit. */
@Serializable
@SerialName("team")
public data class TeamSpec(
    val quota: Resources? = null,
    val weight: Int = 1,
) : ResourceSpec

/**
 * A region: the shards that are home to the request ids of its workloads.
 *
 * The list never changes after the region was created: a scheduler with an old catalog would otherwise send an id to
 * another home than the rest.
 */
@Serializable
@SerialName("region")
public data class RegionSpec(
    val homeShards: List<ShardId>,
) : ResourceSpec
