package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

/** Guards against tokens that fall for a returned upstream, which then answers that the owner is displaced. */
class GoneRelayEpochsTest {
    private val epochs = GoneRelayEpochs(maxKept = 2)

    @Test
    fun `an upstream continues from its last epoch, and a new one starts at 0`() {
        epochs.keep(UpstreamId("a"), 7)
        epochs.keep(UpstreamId("b"), 3)
        expectThat(epochs.take(UpstreamId("a"))).isEqualTo(7)
        expectThat(epochs.take(UpstreamId("c"))).isEqualTo(0)
    }

    @Test
    fun `an upstream whose epoch was dropped continues from no lower one`() {
        listOf("a" to 7L, "b" to 3L, "c" to 4L, "d" to 1L).forEach { (id, epoch) -> epochs.keep(UpstreamId(id), epoch) }
        expectThat(epochs.take(UpstreamId("a"))).isGreaterThanOrEqualTo(7)
        expectThat(epochs.take(UpstreamId("b"))).isGreaterThanOrEqualTo(3)
        expectThat(epochs.take(UpstreamId("d"))).isEqualTo(1)
    }
}
