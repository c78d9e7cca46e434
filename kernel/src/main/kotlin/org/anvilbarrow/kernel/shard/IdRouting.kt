package org.anvilbarrow.kernel.shard

import org.anvilbarrow.kernel.catalog.Catalog
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.WorkRequest

/** Returns the shard whose home decides about [request], or null if its workload or region is not declared. */
internal fun Catalog.homeShardOf(request: WorkRequest): ShardId? {
    val region = workloads[request.workload]?.spec?.region ?: return null
    return regions[region]?.spec?.homeShards?.maxByOrNull { RendezvousHash.score(request.id.value, it.value) }
}
