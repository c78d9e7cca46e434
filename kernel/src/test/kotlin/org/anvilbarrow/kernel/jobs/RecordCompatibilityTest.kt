package org.anvilbarrow.kernel.jobs

import kotlinx.serialization.Serializable
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.StepProgress
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.TaskCrashes
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.UpstreamIncarnation
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
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

    /** The record of crashes under a task as of commit 5e811cc. */
    @Serializable
    private data class EarlierTaskCrashes(
        val task: TaskRef,
        val crashed: Set<UpstreamIncarnation> = emptySet(),
        val trial: UpstreamIncarnation? = null,
    )

    private val incarnation = UpstreamIncarnation(UpstreamId("w0"), 1)
    private val task = TaskRef(StepRef(JobId("a"), 0, 0), 0)

    /** Guards against a start of an earlier build that counts as a crash, although it may not have been sent. */
    @Test
    fun `a trial without proof that it reached its upstream is readable`() {
        val earlierCrashes = EarlierTaskCrashes(task, setOf(incarnation), incarnation)
        val bytes = RecordCodec.encode(EarlierTaskCrashes.serializer(), earlierCrashes)
        expectThat(RecordCodec.decode(TaskCrashes.serializer(), bytes))
            .isEqualTo(TaskCrashes(task, setOf(incarnation), incarnation))
    }

    @Test
    fun `the build before reads crashes with their proof`() {
        val record =
            TaskCrashes(
                task,
                setOf(incarnation),
                incarnation,
                setOf(incarnation),
                setOf(incarnation),
                trialProven = true,
            )
        val bytes = RecordCodec.encode(TaskCrashes.serializer(), record)
        expectThat(RecordCodec.decode(EarlierTaskCrashes.serializer(), bytes))
            .isEqualTo(EarlierTaskCrashes(task, setOf(incarnation), incarnation))
    }

    /** The progress of a job as of commit 857acee. */
    @Serializable
    private data class EarlierProgress(
        val steps: List<EarlierStepProgress>,
    )

    @Serializable
    private data class EarlierStepProgress(
        val occurrence: Int,
        val step: Int,
        val begun: Boolean = false,
    )

    private val earlierProgress = EarlierProgress(listOf(EarlierStepProgress(0, 0, begun = true)))

    /** Guards against a start that an earlier build only ordered and that counts as confirmed. */
    @Test
    fun `a step that an earlier build has begun is ordered and not started`() {
        val bytes = RecordCodec.encode(EarlierProgress.serializer(), earlierProgress)
        val read = RecordCodec.decode(ProgressRecord.serializer(), bytes)
        expectThat(read?.steps?.single()?.isOrdered).isEqualTo(true)
        expectThat(read?.steps?.single()?.isStarted).isEqualTo(false)
    }

    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `the build before reads an ordered step as begun, whether it has started or not`(isStarted: Boolean) {
        val record = ProgressRecord(listOf(StepProgress(0, 0, isOrdered = true, isStarted = isStarted)))
        val bytes = RecordCodec.encode(ProgressRecord.serializer(), record)
        expectThat(RecordCodec.decode(EarlierProgress.serializer(), bytes)).isEqualTo(earlierProgress)
    }
}
