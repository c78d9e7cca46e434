package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.log.SnapshotObject
import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.WorkloadSpec

/** Returns the object of [kind] called [name], or null. */
public fun Catalog.find(
    kind: ResourceKind,
    name: String,
): Versioned<ResourceSpec>? =
    when (kind) {
        ResourceKind.WORKLOAD -> workloads[name]
        ResourceKind.UPSTREAM -> upstreams[UpstreamId(name)]
        ResourceKind.SHARD -> shards[ShardId(name)]
        ResourceKind.TEAM -> teams[name]
        ResourceKind.REGION -> regions[name]
    }

/** Returns the objects of [kind], ordered by name. */
public fun Catalog.list(kind: ResourceKind): List<SnapshotObject> =
    when (kind) {
        ResourceKind.WORKLOAD -> workloads.map { (name, versioned) -> kind.named(name, versioned) }
        ResourceKind.UPSTREAM -> upstreams.map { (id, versioned) -> kind.named(id.value, versioned) }
        ResourceKind.SHARD -> shards.map { (id, versioned) -> kind.named(id.value, versioned) }
        ResourceKind.TEAM -> teams.map { (name, versioned) -> kind.named(name, versioned) }
        ResourceKind.REGION -> regions.map { (name, versioned) -> kind.named(name, versioned) }
    }.sortedBy { it.name }

private fun ResourceKind.named(
    name: String,
    versioned: Versioned<ResourceSpec>,
) = SnapshotObject(label, name, versioned.version, versioned.spec)

/** Returns the catalog with the object called [name] created or replaced. */
internal fun Catalog.with(
    name: String,
    spec: ResourceSpec,
    version: Long,
): Catalog =
    when (spec) {
        is WorkloadSpec -> copy(workloads = workloads.put(name, Versioned(spec, version)))
        is UpstreamSpec -> copy(upstreams = upstreams.put(UpstreamId(name), Versioned(spec, version)))
        is ShardSpec -> copy(shards = shards.put(ShardId(name), Versioned(spec, version)))
        is TeamSpec -> copy(teams = teams.put(name, Versioned(spec, version)))
        is RegionSpec -> copy(regions = regions.put(name, Versioned(spec, version)))
    }

/** Returns the catalog without the object of [kind] called [name]. */
internal fun Catalog.without(
    kind: ResourceKind,
    name: String,
): Catalog =
    when (kind) {
        ResourceKind.WORKLOAD -> copy(workloads = workloads.remove(name))
        ResourceKind.UPSTREAM -> copy(upstreams = upstreams.remove(UpstreamId(name)))
        ResourceKind.SHARD -> copy(shards = shards.remove(ShardId(name)))
        ResourceKind.TEAM -> copy(teams = teams.remove(name))
        ResourceKind.REGION -> copy(regions = regions.remove(name))
    }
