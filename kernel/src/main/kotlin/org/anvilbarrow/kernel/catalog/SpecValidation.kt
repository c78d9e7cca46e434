package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.model.WorkloadSpec

/** Checks declared objects before they are written to the log; an empty list means that the change is valid. */
public object SpecValidation {
    /** Team of workloads that name none; it need not be declared. */
    public const val DEFAULT_TEAM: String = "default"

    /** Checks an object that is to be created or replaced. */
    public fun validatePut(
        name: String,
        spec: ResourceSpec,
        context: ValidationContext,
    ): List<SpecError> =
        checkName("name", name) + checkCount(name, spec, context.catalog) +
            when (spec) {
                is WorkloadSpec -> checkWorkload(spec, context)
                is UpstreamSpec -> checkUpstream(UpstreamId(name), spec, context.catalog)
                is ShardSpec -> ShardRules(ShardId(name), context).check(spec)
                is TeamSpec -> checkTeam(spec)
                is RegionSpec -> checkRegion(name, spec, context.catalog)
            }

    /** Checks whether an object may be deleted; one that does not exist may be. */
    public fun validateDelete(
        kind: ResourceKind,
        name: String,
        catalog: Catalog,
    ): List<SpecError> =
        when (kind) {
            ResourceKind.WORKLOAD -> emptyList()
            ResourceKind.TEAM -> checkTeamUnused(name, catalog)
            ResourceKind.UPSTREAM -> checkNoAnchor(UpstreamId(name), catalog)
            ResourceKind.SHARD -> checkShardUnused(ShardId(name), catalog)
            ResourceKind.REGION -> checkFree("name", name, name !in catalog.regions, "a region that does not exist")
        }

    private fun checkCount(
        name: String,
        spec: ResourceSpec,
        catalog: Catalog,
    ): List<SpecError> {
        val kind = ResourceKind.of(spec)
        val count = catalog.count(kind) + if (catalog.find(kind, name) == null) 1 else 0
        val limit = "at most ${SpecLimits.MAX_OBJECTS}"
        val valid = count <= SpecLimits.MAX_OBJECTS
        return errorUnless(valid, SpecErrorCode.OUT_OF_RANGE, "number of ${kind.plural}", count, limit)
    }
}

private fun checkWorkload(
    spec: WorkloadSpec,
    context: ValidationContext,
): List<SpecError> {
    val regions =
        context.catalog.shards.values
            .mapTo(sortedSetOf()) { it.spec.region }
    val teams = context.catalog.teams
    return checkResources("resources", spec.resources, SpecLimits.MAX_RESOURCES) +
        checkSomeResource("resources", spec.resources) +
        checkTasks(spec) +
        checkRange("expectedRunMillis", spec.expectedRunMillis, 1L..SpecLimits.MAX_EXPECTED_RUN_MILLIS) +
        checkReference("region", spec.region, spec.region in regions, "one of ${regions.sorted()}") +
        checkReference("team", spec.team, spec.team == SpecValidation.DEFAULT_TEAM || spec.team in teams, "a team") +
        checkPolicy(spec.placementPolicy, context.placementPolicies)
}

private fun checkTasks(spec: WorkloadSpec): List<SpecError> {
    val max = if (spec.workloadKind == WorkloadKind.GANG) SpecLimits.MAX_TASKS else 1
    return errorUnless(
        spec.tasks in 1..max,
        SpecErrorCode.OUT_OF_RANGE,
        "tasks",
        spec.tasks,
        "1 to $max for a workload of kind ${spec.workloadKind.name.lowercase()}",
    )
}

private fun checkPolicy(
    policy: String?,
    known: Set<String>,
): List<SpecError> =
    when {
        policy == null -> emptyList()
        known.isEmpty() -> checkName("placementPolicy", policy)
        else -> checkReference("placementPolicy", policy, policy in known, "one of ${known.sorted()}")
    }

private fun checkUpstream(
    id: UpstreamId,
    spec: UpstreamSpec,
    catalog: Catalog,
): List<SpecError> {
    val others = catalog.upstreams.filterKeys { it != id }
    val sameAddress = others.entries.firstOrNull { it.value.spec.address == spec.address }?.key
    val inShard = others.values.count { it.spec.shard == spec.shard } + 1
    val anchorOf = AnchorRule.shardOf(catalog, id)
    val address = catalog.upstreams[id]?.spec?.address
    return checkAddress("address", spec.address) +
        checkName("rack", spec.rack) +
        checkName("failureDomain", spec.failureDomain) +
        checkResources("capacity", spec.capacity, SpecLimits.MAX_RESOURCES) +
        checkSomeResource("capacity", spec.capacity) +
        checkReference("shard", spec.shard.value, spec.shard in catalog.shards, "a declared shard") +
        checkRange("upstreams of shard ${spec.shard}", inShard.toLong(), 1L..SpecLimits.MAX_SHARD_UPSTREAMS) +
        checkFree("address", spec.address, sameAddress == null, "an address that upstream $sameAddress does not have") +
        checkFree("shard", spec.shard, anchorOf in setOf(null, spec.shard), "$anchorOf, as $id is its anchor") +
        checkFree(
            "address",
            spec.address,
            anchorOf == null || address in setOf(null, spec.address),
            "$address while $id is an anchor of shard $anchorOf",
        )
}

private fun checkTeam(spec: TeamSpec): List<SpecError> {
    val max = SpecLimits.MAX_QUOTA
    val quota = spec.quota
    return checkRange("weight", spec.weight.toLong(), 1L..SpecLimits.MAX_WEIGHT) +
        if (quota == null) emptyList() else checkResources("quota", quota, quotaOf(max))
}

private fun quotaOf(max: Int) = Resources(max, max, max, max, max)

private fun checkTeamUnused(
    name: String,
    catalog: Catalog,
): List<SpecError> {
    val user =
        catalog.workloads.entries
            .firstOrNull { it.value.spec.team == name }
            ?.key
    return checkFree("name", name, user == null, "a team without workloads; workload $user names it")
}

private fun checkNoAnchor(
    id: UpstreamId,
    catalog: Catalog,
): List<SpecError> {
    val shard = AnchorRule.shardOf(catalog, id)
    return checkFree("name", id, shard == null, "an upstream that is no anchor; shard $shard names it")
}

private fun checkShardUnused(
    id: ShardId,
    catalog: Catalog,
): List<SpecError> {
    val members = catalog.upstreams.filterValues { it.spec.shard == id }.keys
    val anchors =
        catalog.shards[id]
            ?.spec
            ?.anchors
            .orEmpty()
    val homeOf =
        catalog.regions.entries
            .firstOrNull { id in it.value.spec.homeShards }
            ?.key
    return checkFree("name", id, members.isEmpty(), "a shard without upstreams; it has $members") +
        checkFree("anchors", anchors, anchors.isEmpty(), "empty before the shard is deleted") +
        checkFree("name", id, homeOf == null, "a shard that is no home shard; region $homeOf names it")
}

private fun checkRegion(
    name: String,
    spec: RegionSpec,
    catalog: Catalog,
): List<SpecError> {
    val before = catalog.regions[name]?.spec
    val shards = spec.homeShards
    return checkRange("homeShards.size", shards.size.toLong(), 1L..SpecLimits.MAX_HOME_SHARDS) +
        checkFree("homeShards", shards, shards.distinct() == shards, "distinct shards") +
        checkFree(
            "homeShards",
            shards,
            before == null || before == spec,
            "${before?.homeShards}, as it never changes",
        ) +
        shards.flatMap { shard ->
            val valid = catalog.shards[shard]?.spec?.region == name
            checkReference("homeShards", shard.value, valid, "a declared shard of region $name")
        }
}

internal fun checkReference(
    field: String,
    value: String,
    exists: Boolean,
    limit: String,
): List<SpecError> = errorUnless(exists, SpecErrorCode.UNKNOWN_REFERENCE, field, value, limit)

private fun checkFree(
    field: String,
    value: Any,
    free: Boolean,
    limit: String,
): List<SpecError> = errorUnless(free, SpecErrorCode.IN_USE, field, value, limit)

private fun Catalog.count(kind: ResourceKind): Int =
    when (kind) {
        ResourceKind.WORKLOAD -> workloads.size
        ResourceKind.UPSTREAM -> upstreams.size
        ResourceKind.SHARD -> shards.size
        ResourceKind.TEAM -> teams.size
        ResourceKind.REGION -> regions.size
    }
