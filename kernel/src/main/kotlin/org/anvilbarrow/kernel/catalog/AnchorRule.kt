package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec

/**
 * Keeps an anchor at its address, and a region at its home shards.
 *
 * Two schedulers that know different addresses of one anchor could each hold "its" lease and both be home. Every reader
 * therefore ignores a record that deletes an anchor or changes its address; the shard has to name another anchor first.
 * For the same reason a record that changes or deletes a region is ignored.
 */
public object AnchorRule {
    /** Returns the shard that names [upstream] as an anchor, or null. */
    public fun shardOf(
        catalog: Catalog,
        upstream: UpstreamId,
    ): ShardId? =
        catalog.shards.entries
            .firstOrNull { upstream in it.value.spec.anchors }
            ?.key

    internal fun allows(
        catalog: Catalog,
        kind: ResourceKind,
        name: String,
        spec: ResourceSpec?,
    ): Boolean {
        if (kind == ResourceKind.REGION) return catalog.regions[name].let { it == null || it.spec == spec }
        if (kind != ResourceKind.UPSTREAM) return true
        val before = catalog.upstreams[UpstreamId(name)]?.spec ?: return true
        val sameAddress = spec is UpstreamSpec && spec.address == before.address
        return sameAddress || shardOf(catalog, UpstreamId(name)) == null
    }
}
