package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
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
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder

/** Guards against a declared object that no scheduler can serve, or that makes two schedulers home to one id. */
internal class SpecValidationTest {
    private val one = Resources(cpuMillicores = 100, slots = 1)
    private val shard = ShardSpec("lappi-a", anchors("u1", "u2", "u3"))
    private val upstream = UpstreamSpec("10.0.0.9:80", ShardId("s1"), "rack-1", "zone-1", one)
    private val workload = WorkloadSpec(WorkloadKind.SERVICE, "lappi-a", one)

    private val catalog: Catalog =
        (1..5)
            .fold(Catalog().with("s1", ShardSpec("lappi-a", emptyList()), 1)) { catalog, n ->
                catalog.with("u$n", upstream.copy(address = "10.0.0.$n:80"), n + 1L)
            }.with("s1", shard, 9)
            .with("s2", ShardSpec("lappi-a", emptyList()), 10)
            .with("lappi-a", RegionSpec(listOf(ShardId("s1"))), 11)
            .with("climbers", TeamSpec(), 12)
            .with("w1", workload.copy(team = "climbers"), 13)

    private fun listed(vararg states: Pair<String, VmState>) = states.map { VmEntry(it.first, it.second) }

    private fun anchors(vararg names: String) = names.map { UpstreamId(it) }

    private val allLive = (1..5).map { VmEntry("u$it", VmState.LIVE) }

    @TestFactory
    fun `an object to be put`(): List<DynamicTest> =
        listOf(
            put("a valid workload", "w", workload),
            put("an empty name", "", workload, "name"),
            put("a name with a slash", "a/b", workload, "name"),
            put("a name of 64 characters", "a".repeat(64), workload, "name"),
            put("an unknown region", "w", workload.copy(region = "pohjanmaa-a"), "region"),
            put("an unknown team", "w", workload.copy(team = "nobody"), "team"),
            put("a negative amount", "w", workload.copy(resources = Resources(-1)), "resources.cpuMillicores"),
            put("an absurd amount", "w", workload.copy(resources = Resources(slots = 1 shl 30)), "resources.slots"),
            put("no resources", "w", workload.copy(resources = Resources.NONE), "resources"),
            put("two tasks of a service", "w", workload.copy(tasks = 2), "tasks"),
            put("a gang of 1000", "w", workload.copy(workloadKind = WorkloadKind.GANG, tasks = 1_000)),
            put("a gang of 1001", "w", workload.copy(workloadKind = WorkloadKind.GANG, tasks = 1_001), "tasks"),
            put("a run time of no length", "w", workload.copy(expectedRunMillis = 0), "expectedRunMillis"),
            put("a valid upstream", "u9", upstream),
            put("an IPv6 address", "u9", upstream.copy(address = "[fd00::7]:80")),
            put("a host name", "u9", upstream.copy(address = "node:80"), "address"),
            put("a byte over 255", "u9", upstream.copy(address = "10.0.0.256:80"), "address"),
            put("a port over 65535", "u9", upstream.copy(address = "10.0.0.9:65536"), "address"),
            put("an address in use", "u9", upstream.copy(address = "10.0.0.1:80"), "address"),
            put("an unknown shard", "u9", upstream.copy(shard = ShardId("s9")), "shard"),
            put("an anchor that moves", "u1", upstream, "address"),
            put("an upstream that moves", "u4", upstream),
            put("an anchor of another shard", "u1", catalog.upstreamOf("u1").copy(shard = ShardId("s2")), "shard"),
            put("a weight of 0", "t", TeamSpec(weight = 0), "weight"),
            put("a negative quota", "t", TeamSpec(Resources(memoryMebibytes = -1)), "quota.memoryMebibytes"),
            put("a region again", "lappi-a", RegionSpec(listOf(ShardId("s1")))),
            put("another home shard", "lappi-a", RegionSpec(listOf(ShardId("s2"))), "homeShards"),
            put("a shard of another region", "mani", RegionSpec(listOf(ShardId("s1"))), "homeShards"),
            put("a region without shards", "mani", RegionSpec(emptyList()), "homeShards.size"),
        )

    @TestFactory
    fun `the anchors of a shard`(): List<DynamicTest> {
        val u1Gone = allLive.drop(1)
        val u1Leaving = u1Gone + listed("u1" to VmState.LEAVING)
        val replaced = shard.copy(anchors = anchors("u4", "u2", "u3"))
        return listOf(
            put("unchanged without a VM list", "s1", shard, vms = null),
            put("replaced when the VM left", "s1", replaced, vms = u1Gone),
            put("replaced while the VM is listed", "s1", replaced, "anchors"),
            put("replaced while the VM is leaving", "s1", replaced, "anchors", vms = u1Leaving),
            put("replaced without a VM list", "s1", replaced, "anchors", vms = null),
            put("a new anchor that is not listed", "s1", replaced, "anchors", vms = u1Gone.filter { it.name != "u4" }),
            put("an even number", "s1", ShardSpec("lappi-a", anchors("u2", "u3")), "anchors", vms = u1Gone),
            put("twice the same", "s1", shard.copy(anchors = anchors("u2", "u2", "u3")), "anchors", vms = u1Gone),
            put("grown to five", "s1", shard.copy(anchors = anchors("u1", "u2", "u3", "u4", "u5")), "anchors"),
            put("no members", "s2", shard.copy(anchors = anchors("u1", "u2", "u3")), "anchors", "anchors", "anchors"),
            put("another region", "s1", shard.copy(region = "mani"), "region"),
        )
    }

    @TestFactory
    fun `an object to be deleted`(): List<DynamicTest> =
        listOf(
            delete("a workload", ResourceKind.WORKLOAD, "w1"),
            delete("an upstream", ResourceKind.UPSTREAM, "u5"),
            delete("an anchor", ResourceKind.UPSTREAM, "u1", "name"),
            delete("a team with workloads", ResourceKind.TEAM, "climbers", "name"),
            delete("a shard in use", ResourceKind.SHARD, "s1", "name", "anchors", "name"),
            delete("an unused shard", ResourceKind.SHARD, "s2"),
            delete("a region", ResourceKind.REGION, "lappi-a", "name"),
        )

    private fun Catalog.upstreamOf(name: String) = checkNotNull(upstreams[UpstreamId(name)]).spec

    private fun put(
        case: String,
        name: String,
        spec: ResourceSpec,
        vararg fields: String,
        vms: List<VmEntry>? = allLive,
    ): DynamicTest =
        dynamicTest(case) {
            val errors = SpecValidation.validatePut(name, spec, ValidationContext(catalog, vms))
            expectThat(errors.map { it.field }).containsExactlyInAnyOrder(fields.toList())
        }

    private fun delete(
        case: String,
        kind: ResourceKind,
        name: String,
        vararg fields: String,
    ): DynamicTest =
        dynamicTest(case) {
            val errors = SpecValidation.validateDelete(kind, name, catalog)
            expectThat(errors.map { it.field }).containsExactlyInAnyOrder(fields.toList())
        }
}
