package org.anvilbarrow.kernel.jobs

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Records that owners of two builds write and read in turn while VMs are replaced. */
class RecordCompatibilityTest {
    /** The record of a used upstream as of commit 2f87e80. */
    @Serializable
    private data class EarlierUsedUpstream(
        val upstream: UpstreamId,
        val address: String,
        val region: String? = null,
    )

    private val earlier = EarlierUsedUpstream(UpstreamId("w0"), "w0:1", "region")

    /** Guards against a takeover that takes a missing capacity for none. */
    @Test
    fun `a used upstream without a recorded capacity is readable`() {
        val bytes = RecordCodec.encode(EarlierUsedUpstream.serializer(), earlier)
        val read = RecordCodec.decode(UsedUpstreamRecord.serializer(), bytes)
        expectThat(read?.address).isEqualTo("w0:1")
        expectThat(read?.largestCapacity).isNull()
    }

    @Test
    fun `the build before reads a used upstream with its capacity`() {
        val record = UsedUpstreamRecord(UpstreamId("w0"), "w0:1", "region", Resources(64_000, 262_144))
        val bytes = RecordCodec.encode(UsedUpstreamRecord.serializer(), record)
        expectThat(RecordCodec.decode(EarlierUsedUpstream.serializer(), bytes)).isEqualTo(earlier)
    }
}
