package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private val capacity = Resources(cpuMillicores = 8_000, memoryMebibytes = 8_192, slots = 8, connections = 64)
private val withAccelerators = capacity.copy(accelerators = 4)
private val oneSlot = Resources(cpuMillicores = 1_000, memoryMebibytes = 512, slots = 1, connections = 1)

private fun candidate(
    name: String,
    usedSlots: Int = 0,
    rack: String = "r1",
    domain: String = "d1",
    sameWorkload: Int = 0,
    total: Resources = capacity,
) = Candidate(UpstreamId(name), total, total - oneSlot * usedSlots, rack, domain, usedSlots, sameWorkload)

private data class OneTask(
    val behaviour: String,
    val policy: PlacementPolicy,
    val candidates: List<Candidate>,
    val expected: String?,
    val need: Resources = oneSlot,
)

private data class Gang(
    val behaviour: String,
    val tasks: Int,
    val candidates: List<Candidate>,
    val expected: List<String>?,
    val policy: PlacementPolicy = GangPlacement(),
)

/** Guards against choices that overcommit an upstream, lose spreading or packing, or depend on the input order. */
class PlacementPolicyTest {
    private val spread = SpreadPlacement()
    private val pack = PackPlacement()

    private val oneTask =
        listOf(
            OneTask("spread finds no upstream when all are full", spread, listOf(candidate("a", 8)), null),
            OneTask("pack finds no upstream when all are full", pack, listOf(candidate("a", 8)), null),
            OneTask("no candidates give no upstream", spread, emptyList(), null),
            OneTask(
                "spread prefers the failure domain with fewest tasks of the workload, even if it is busier",
                spread,
                listOf(candidate("a", 1, domain = "d1", sameWorkload = 1), candidate("b", 5, domain = "d2")),
                "b",
            ),
            OneTask(
                "spread counts tasks of the workload on upstreams that are full",
                spread,
                listOf(
                    candidate("a", 8, "r1", "d1", sameWorkload = 2),
                    candidate("b", 0, "r2", "d1"),
                    candidate("c", 4, "r3", "d2", sameWorkload = 1),
                ),
                "c",
            ),
            OneTask(
                "spread prefers the rack with fewest tasks of the workload within a failure domain",
                spread,
                listOf(candidate("a", 1, "r1", sameWorkload = 1), candidate("b", 0, "r1"), candidate("c", 3, "r2")),
                "c",
            ),
            OneTask(
                "spread prefers the least used upstream of equal racks",
                spread,
                listOf(candidate("a", 3), candidate("b", 2), candidate("c", 4)),
                "b",
            ),
            OneTask("spread breaks ties by name", spread, listOf(candidate("b"), candidate("a")), "a"),
            OneTask(
                "pack prefers the tightest upstream that still fits",
                pack,
                listOf(candidate("a", 3), candidate("b", 7), candidate("c", 8), candidate("d")),
                "b",
            ),
            OneTask(
                "pack leaves upstreams with free accelerators to tasks that need them",
                pack,
                listOf(candidate("a", 7, total = withAccelerators), candidate("b", 0)),
                "b",
            ),
            OneTask(
                "pack places a task that needs accelerators where they are",
                pack,
                listOf(candidate("a", 2, total = withAccelerators), candidate("b", 7)),
                "a",
                oneSlot.copy(accelerators = 1),
            ),
            OneTask("pack breaks ties by name", pack, listOf(candidate("b"), candidate("a")), "a"),
        )

    private val gangs =
        listOf(
            Gang(
                "a gang that does not fit as a whole gets nothing",
                4,
                listOf(candidate("a", 7), candidate("b", 6)),
                null,
            ),
            Gang(
                "a gang may fill several upstreams",
                3,
                listOf(candidate("a", 7), candidate("b", 6)),
                listOf("a", "b", "b"),
            ),
            Gang(
                "a gang stays in the tightest failure domain that holds all of it",
                3,
                listOf(
                    candidate("a", 7, domain = "d1"),
                    candidate("b", 2, domain = "d2"),
                    candidate("c", 5, domain = "d3"),
                ),
                listOf("c", "c", "c"),
            ),
            Gang(
                "any policy places all or none",
                9,
                listOf(candidate("a", 4), candidate("b", 4)),
                null,
                PackPlacement(),
            ),
            Gang(
                "spread places a gang over failure domains",
                2,
                listOf(candidate("a", domain = "d1"), candidate("b", domain = "d2")),
                listOf("a", "b"),
                SpreadPlacement(),
            ),
        )

    @TestFactory
    fun `one task`(): List<DynamicTest> =
        oneTask.map { case ->
            dynamicTest(case.behaviour) {
                val expected = case.expected?.let(::UpstreamId)
                expectThat(case.policy.choose(case.need, case.candidates)).isEqualTo(expected)
                expectThat(case.policy.choose(case.need, case.candidates.reversed())).isEqualTo(expected)
            }
        }

    @TestFactory
    fun `all tasks of a gang`(): List<DynamicTest> =
        gangs.map { case ->
            dynamicTest(case.behaviour) {
                val expected = case.expected?.map(::UpstreamId)
                expectThat(case.policy.chooseAll(oneSlot, case.tasks, case.candidates)).isEqualTo(expected)
                expectThat(case.policy.chooseAll(oneSlot, case.tasks, case.candidates.reversed())).isEqualTo(expected)
            }
        }
}
