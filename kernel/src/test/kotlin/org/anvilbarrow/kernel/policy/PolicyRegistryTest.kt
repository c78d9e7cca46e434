package org.anvilbarrow.kernel.policy

import org.anvilbarrow.kernel.placement.PackPlacement
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.model.WorkloadSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

/** Guards against policies that are missing from the service file and against silently replaced policies. */
class PolicyRegistryTest {
    private val cases =
        listOf(
            Triple(WorkloadKind.SERVICE, null, "spread"),
            Triple(WorkloadKind.BATCH, null, "pack"),
            Triple(WorkloadKind.GANG, null, "gang"),
            Triple(WorkloadKind.SERVICE, "pack", "pack"),
        )

    @TestFactory
    fun `a workload gets the policy it selects or the default of its kind`(): List<DynamicTest> =
        cases.map { (kind, selected, expected) ->
            dynamicTest("$kind selecting $selected uses $expected") {
                val workload = WorkloadSpec(kind, "lappi-a", Resources.NONE, placementPolicy = selected)
                expectThat(PolicyRegistry.placementOf(workload))
                    .isA<PlacementLookup.Found>()
                    .get { policy.name }
                    .isEqualTo(expected)
            }
        }

    @Test
    fun `an unknown name is answered with the known names`() {
        expectThat(PolicyRegistry.placement("sprad"))
            .isEqualTo(PlacementLookup.Unknown("sprad", listOf("gang", "pack", "spread")))
    }

    @Test
    fun `a name that is registered twice is an error that names both classes`() {
        val className = PackPlacement::class.java.name
        expectThat(PolicyRegistry.of(listOf(PackPlacement(), PackPlacement())))
            .isEqualTo(PolicyRegistration.DuplicateName("pack", className, className))
    }
}
