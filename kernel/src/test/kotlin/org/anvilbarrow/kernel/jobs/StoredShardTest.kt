package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.FinishedJob
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.RecordCodec
import org.anvilbarrow.protocol.jobs.StepProgress
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo

/** Records of a shard that were stored in part, or by another build. */
class StoredShardTest {
    private val submission =
        RecordCodec.encode(SubmissionRecord.serializer(), SubmissionRecord("q", JobSpec("", listOf(step(1))), 0))
    private val unreadable = byteArrayOf(-1, 0, 1)

    private fun progress(vararg occurrences: Int) =
        RecordCodec.encode(ProgressRecord.serializer(), ProgressRecord(occurrences.map { StepProgress(it, 0) }))

    private val finished =
        RecordCodec.encode(
            FinishedJobsRecord.serializer(),
            FinishedJobsRecord(listOf(FinishedJob(JobId("ended"), "q", JobPhase.COMPLETED, 1))),
        )

    /** Guards against an ended job that runs again, and against progress that is lost to a build that can read it. */
    @Test
    fun `records are orphaned if their job has ended or was never submitted`() {
        val shard =
            StoredShard(
                mapOf(
                    "j/open" to submission,
                    "p/open" to progress(0),
                    "j/newer" to unreadable,
                    "p/newer" to progress(0),
                    "c/newer" to unreadable,
                    "j/ended" to submission,
                    "p/ended" to progress(0),
                    "p/ended#1" to progress(1),
                    "c/gone" to unreadable,
                    "f/1" to finished,
                ),
            ) {}.decode()
        expectThat(shard.jobs.map { it.id.value }).isEqualTo(listOf("open"))
        expectThat(shard.orphanedKeys).containsExactlyInAnyOrder("j/ended", "p/ended", "p/ended#1", "c/gone")
    }

    @Test
    fun `the parts of a job's progress are put together`() {
        val values = mapOf("j/a" to submission, "p/a" to progress(0, 1), "p/a#1" to progress(2), "p/a#2" to progress(3))
        val job = StoredShard(values) {}.decode().jobs.single()
        expectThat(job.progressParts).isEqualTo(3)
        expectThat(job.progress?.steps?.map { it.occurrence }).isEqualTo(listOf(0, 1, 2, 3))
    }
}
