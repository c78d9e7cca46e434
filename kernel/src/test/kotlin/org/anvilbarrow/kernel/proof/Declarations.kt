package org.anvilbarrow.kernel.proof

import org.anvilbarrow.protocol.log.CatalogPayload.ResourceChange
import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.model.WorkloadSpec

/** The objects that a run declares: shards of three or four upstreams, and workloads of every kind per region. */
internal class Declarations(
    plan: Plan,
) {
    private val shardCount = if (plan.upstreams < 2 * MIN_SHARD) 1 else 2

    val upstreams: Map<UpstreamId, UpstreamSpec> =
        (0 until plan.upstreams).associate {
            val shard = it % shardCount
            UpstreamId("u$it") to
                UpstreamSpec(
                    address = "10.0.0.${it + 1}:8080",
                    shard = ShardId("shard-$shard"),
                    rack = "rack-${it % MIN_SHARD}",
                    failureDomain = "${region(shard, plan)}-1",
                    capacity = CAPACITY,
                )
        }

    val shards: Map<ShardId, ShardSpec> =
        (0 until shardCount).associate { shard ->
            val id = ShardId("shard-$shard")
            id to ShardSpec(region(shard, plan), upstreams.filterValues { it.shard == id }.keys.take(MIN_SHARD))
        }

    private val regions: Map<String, RegionSpec> =
        shards.entries.groupBy({ it.value.region }, { it.key }).mapValues { RegionSpec(it.value) }

    val workloads: Map<String, WorkloadSpec> =
        shards.values
            .map { it.region }
            .distinct()
            .flatMap(::workloadsOf)
            .toMap()

    /** Creates everything, the team first. */
    val changes: List<ResourceChange> =
        listOf(ResourceChange("create-team", "team", "default", TeamSpec())) +
            regions.map { (name, spec) -> ResourceChange("create-$name", "region", name, spec) } +
            shards.map { (id, spec) -> ResourceChange("create-$id", "shard", id.value, spec) } +
            upstreams.map { (id, spec) -> ResourceChange("create-$id", "upstream", id.value, spec) } +
            workloads.map { (name, spec) -> ResourceChange("create-$name", "workload", name, spec) }

    private fun region(
        shard: Int,
        plan: Plan,
    ) = "r${shard % plan.regions}"

    private fun workloadsOf(region: String): List<Pair<String, WorkloadSpec>> =
        listOf(
            "once-$region" to spec(region, WorkloadKind.SERVICE),
            "again-$region" to spec(region, WorkloadKind.SERVICE).copy(idempotent = true),
            "urgent-$region" to spec(region, WorkloadKind.SERVICE).copy(urgency = Urgency.URGENT),
            "batch-$region" to
                spec(region, WorkloadKind.BATCH).copy(idempotent = true, urgency = Urgency.DEFERRABLE),
            "gang-$region" to spec(region, WorkloadKind.GANG).copy(tasks = GANG_TASKS),
            "huge-$region" to spec(region, WorkloadKind.BATCH).copy(resources = CAPACITY * 2),
        )

    private fun spec(
        region: String,
        kind: WorkloadKind,
    ) = WorkloadSpec(kind, region, TASK, expectedRunMillis = EXPECTED_RUN_MILLIS)

    companion object {
        const val EXPECTED_RUN_MILLIS = 200L
        const val GANG_TASKS = 3
        private const val MIN_SHARD = 3
        private val TASK = Resources(cpuMillicores = 2_000, memoryMebibytes = 1_024, slots = 1, connections = 1)

        /** Room for two tasks. */
        private val CAPACITY =
            Resources(cpuMillicores = 5_000, memoryMebibytes = 4_096, accelerators = 1, slots = 3, connections = 3)
    }
}
