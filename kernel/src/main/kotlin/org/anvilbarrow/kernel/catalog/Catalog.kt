package org.anvilbarrow.kernel.catalog

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.protocol.log.SnapshotChange
import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.WorkloadSpec

/** A declared object and its version: the offset of the log record that last changed it. */
public data class Versioned<out T>(
    val spec: T,
    val version: Long,
)

/** All declared objects as of [appliedOffset]. */
public data class Catalog(
    val workloads: PersistentMap<String, Versioned<WorkloadSpec>> = persistentMapOf(),
    val upstreams: PersistentMap<UpstreamId, Versioned<UpstreamSpec>> = persistentMapOf(),
    val shards: PersistentMap<ShardId, Versioned<ShardSpec>> = persistentMapOf(),
    val regions: PersistentMap<String, Versioned<RegionSpec>> = persistentMapOf(),
    val teams: PersistentMap<String, Versioned<TeamSpec>> = persistentMapOf(),
    /** Offset after the last applied record. */
    val appliedOffset: Long = 0,
    /** True once every record up to a known end of the log was applied; a scheduler serves nothing before. */
    val current: Boolean = false,
    /** The last changes by their id, in offset order, so that a repeated change is ignored by every reader alike. */
    val recentChanges: PersistentMap<String, SnapshotChange> = persistentMapOf(),
    /** Records that were skipped because they could not be decoded. */
    val skippedRecords: Long = 0,
    /** Snapshots seen on the log. */
    val snapshots: SnapshotProgress = SnapshotProgress(),
    /** Set while the reader waits for a snapshot because older records are gone; the objects are those from before. */
    val restoring: SnapshotRestore? = null,
) {
    /** Declared upstreams of each shard. */
    internal val upstreamsByShard: Map<ShardId, Map<UpstreamId, Versioned<UpstreamSpec>>> by lazy {
        upstreams.entries
            .groupBy { it.value.spec.shard }
            .mapValues { (_, members) -> members.associate { it.key to it.value } }
    }

    /** Offset of the record to read next. */
    public val nextOffset: Long get() = restoring?.nextOffset ?: appliedOffset
}
