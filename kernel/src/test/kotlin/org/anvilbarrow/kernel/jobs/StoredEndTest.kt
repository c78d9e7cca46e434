package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against ends of jobs that are told to callers before they are stored. */
class StoredEndTest {
    private val second = Duration.ofSeconds(1)

    /** A successor does not know a cancellation that is not stored, and the jobs wait there. */
    @Test
    fun `jobs whose cancellation is not stored are pending`() {
        val world = JobWorld(workers = 4)
        world.run(second)
        world.unreachable += world.workers.keys
        repeat(20) { world.submit("a$it", step(1)) }
        world.run(Duration.ofMillis(100))
        world.storeDown = true
        val calls = List(15) { world.ask(JobRequest.Cancel(JobId("a$it"), "q")) }
        world.run(second)
        expectThat(calls.count { it in world.answers }).isEqualTo(0)
        expectThat(world.phase("a0")).isEqualTo(JobPhase.QUEUED)
        expectThat(world.pending()).isEqualTo(20)
        world.takeOver()
        expectThat(world.pending()).isEqualTo(20)
    }
}
