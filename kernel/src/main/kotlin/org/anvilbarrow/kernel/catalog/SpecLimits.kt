package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.Resources

/** Limits of declared objects. */
public object SpecLimits {
    /** Longest name, in characters: that of a DNS label. */
    public const val MAX_NAME_LENGTH: Int = 63

    /**
     * Most of each resource of one upstream or task.
     *
     * [MAX_TASKS] times each of these fits into an [Int], in which amounts are summed.
     */
    public val MAX_RESOURCES: Resources =
        Resources(
            cpuMillicores = 1_024_000,
            memoryMebibytes = 2_097_152,
            accelerators = 64,
            slots = 1_024,
            connections = 65_536,
        )

    /** Most of each resource in a team's quota. */
    public const val MAX_QUOTA: Int = 2_000_000_000

    /** Most tasks of one request of a gang workload. */
    public const val MAX_TASKS: Int = 1_000

    /** Longest declared run time: 30 days. */
    public const val MAX_EXPECTED_RUN_MILLIS: Long = 30L * 24 * 60 * 60 * 1_000

    /** Largest weight of a team. */
    public const val MAX_WEIGHT: Int = 1_000

    /** Most upstreams of one shard. */
    public const val MAX_SHARD_UPSTREAMS: Int = 12

    /** Numbers of anchors that a shard may have; without anchors it is home to no request. */
    public val ANCHOR_COUNTS: Set<Int> = setOf(0, 3, 5)

    /** Most home shards of one region; about twice its shards in two years. */
    public const val MAX_HOME_SHARDS: Int = 64

    /** Most objects of one kind; about five times what is expected in two years. */
    public const val MAX_OBJECTS: Int = 10_000

    /** Largest port number. */
    public const val MAX_PORT: Int = 65_535
}
