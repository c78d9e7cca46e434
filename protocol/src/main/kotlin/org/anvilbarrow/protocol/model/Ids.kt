package org.anvilbarrow.protocol.model

import kotlinx.serialization.Serializable

/** Names one scheduler process slot, for example `lappi-a-1`; it survives restarts of the process. */
@Serializable
@JvmInline
public value class SchedulerId(
    public val value: String,
) : Comparable<SchedulerId> {
    override fun compareTo(other: SchedulerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names one upstream: a VM that runs tasks. */
@Serializable
@JvmInline
public value class UpstreamId(
    public val value: String,
) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names a shard: a fixed group of upstreams that one scheduler leases together. */
@Serializable
@JvmInline
public value class ShardId(
    public val value: String,
) : Comparable<ShardId> {
    override fun compareTo(other: ShardId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a request; chosen by the caller, at most [MAX_LENGTH] characters. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Longest accepted request id, in characters. */
        public const val MAX_LENGTH: Int = 128
    }
}

/** Identifies one execution of a task on one upstream; never used twice. */
@Serializable
@JvmInline
public value class TaskId(
    public val value: String,
) {
    override fun toString(): String = value
}

/**
 * Identifies one HTTP exchange between a caller and a scheduler.
 *
 * It is unique for the scheduler across restarts, because homes remember it: a process starts counting at its start
 * time in microseconds.
 */
@Serializable
@JvmInline
public value class ExchangeId(
    public val value: Long,
) {
    override fun toString(): String = value.toString()
}
