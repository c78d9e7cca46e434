package org.anvilbarrow.benchmarks.cell

import org.anvilbarrow.kernel.core.SchedulerIdentity
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.WorkloadSpec

/** Where a process runs. */
internal data class Place(
    val region: String,
    val failureDomain: String,
)

/** One upstream of a cell. */
internal data class CellUpstream(
    val id: UpstreamId,
    val place: Place,
    val spec: UpstreamSpec,
)

/** The upstreams, shards and schedulers that a [CellShape] describes. */
internal class Cell(
    val shape: CellShape,
) {
    private val domainsOf: Map<String, List<String>> =
        shape.regions.withIndex().associate { (index, region) ->
            val extra = if (index < shape.failureDomains % shape.regions.size) 1 else 0
            region to (1..shape.failureDomains / shape.regions.size + extra).map { "$region-fd$it" }
        }

    val upstreams: List<CellUpstream> = shape.regions.flatMapIndexed(::upstreamsOf)

    val shards: Map<ShardId, ShardSpec> =
        upstreams.groupBy { it.spec.shard }.mapValues { (_, members) ->
            ShardSpec(members.first().place.region, members.take(ANCHORS).map { it.id })
        }

    val schedulers: List<SchedulerIdentity> =
        shape.regions.flatMap { region ->
            val domains = domainsOf.getValue(region)
            (0 until shape.schedulersPerRegion).map {
                SchedulerIdentity(SchedulerId("$region-s$it"), 1, region, domains[it % domains.size])
            }
        }

    /** Returns the log records that declare this cell and [workloads]. */
    fun catalogRecords(workloads: Map<String, WorkloadSpec>): List<LogRecord> {
        val changes =
            workloads.map { (name, spec) -> change("workload", name, spec) } +
                shards.map { (id, spec) -> change("shard", id.value, spec) } +
                shards.entries.groupBy({ it.value.region }, { it.key }).map { (region, homeShards) ->
                    change("region", region, RegionSpec(homeShards))
                } +
                upstreams.map { change("upstream", it.id.value, it.spec) }
        return changes.mapIndexed { offset, change ->
            LogRecord(offset.toLong(), strictJson.encodeToString(CatalogPayload.serializer(), change))
        }
    }

    private fun change(
        kind: String,
        name: String,
        spec: ResourceSpec,
    ): CatalogPayload = CatalogPayload.ResourceChange("declare-$kind-$name", kind, name, spec, expectedVersion = 0)

    private fun upstreamsOf(
        regionIndex: Int,
        region: String,
    ): List<CellUpstream> {
        val first = shape.upstreams * regionIndex / shape.regions.size
        val count = shape.upstreams * (regionIndex + 1) / shape.regions.size - first
        val shardCount = (count + shape.upstreamsPerShard - 1) / shape.upstreamsPerShard
        return (0 until count).map { upstreamOf(regionIndex, region, it, it * shardCount / count, first + it) }
    }

    private fun upstreamOf(
        regionIndex: Int,
        region: String,
        index: Int,
        shard: Int,
        indexInCell: Int,
    ): CellUpstream {
        val domains = domainsOf.getValue(region)
        val domain = domains[index % domains.size]
        val rack = index / domains.size / CellShape.UPSTREAMS_PER_RACK
        val hasAccelerators = indexInCell * shape.acceleratorUpstreams % shape.upstreams < shape.acceleratorUpstreams
        val accelerators = if (hasAccelerators) CellShape.ACCELERATORS_PER_UPSTREAM else 0
        val spec =
            UpstreamSpec(
                address = "10.$regionIndex.${index / ADDRESSES_PER_NET}.${index % ADDRESSES_PER_NET + 1}:8080",
                shard = ShardId("$region-$shard"),
                rack = "$domain-r$rack",
                failureDomain = domain,
                capacity = shape.capacity.copy(accelerators = accelerators),
            )
        return CellUpstream(UpstreamId("$region-u$index"), Place(region, domain), spec)
    }

    private companion object {
        const val ANCHORS = 3
        const val ADDRESSES_PER_NET = 250
    }
}
