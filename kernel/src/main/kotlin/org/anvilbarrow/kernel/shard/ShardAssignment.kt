package org.anvilbarrow.kernel.shard

import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId

/** A scheduler that may own shards. */
internal data class OwnerCandidate(
    val scheduler: SchedulerId,
    val region: String,
)

/** Decides which scheduler is meant to own each shard. */
internal object ShardAssignment {
    /**
     * Assigns every shard to a live scheduler, in its own region if one lives there.
     *
     * Each scheduler gets at most its rounded-up share of a region's shards: plain rendezvous hashing gave one of
     * three schedulers all three shards of a region.
     */
    fun assign(
        shardRegions: Map<ShardId, String>,
        live: List<OwnerCandidate>,
    ): Map<ShardId, SchedulerId> =
        shardRegions.entries
            .groupBy({ it.value }, { it.key })
            .flatMap { (region, shards) -> assignRegion(shards.sorted(), ownersFor(region, live)) }
            .toMap()

    private fun ownersFor(
        region: String,
        live: List<OwnerCandidate>,
    ): List<SchedulerId> {
        val local = live.filter { it.region == region }
        return local.ifEmpty { live }.map { it.scheduler }.sorted()
    }

    private fun assignRegion(
        shards: List<ShardId>,
        owners: List<SchedulerId>,
    ): List<Pair<ShardId, SchedulerId>> {
        if (owners.isEmpty()) return emptyList()
        val share = (shards.size + owners.size - 1) / owners.size
        val load = HashMap<SchedulerId, Int>()
        return shards.map { shard ->
            val owner =
                owners
                    .filter { load.getOrDefault(it, 0) < share }
                    .maxBy { RendezvousHash.score(shard.value, it.value) }
            load.merge(owner, 1, Int::plus)
            shard to owner
        }
    }
}
