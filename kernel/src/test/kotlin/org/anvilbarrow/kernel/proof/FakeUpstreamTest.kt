package org.anvilbarrow.kernel.proof

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Guards the ground of the other proofs: the fake upstream follows assumptions A1 to A3. */
internal class FakeUpstreamTest {
    private val timeline = Timeline()
    private val declared = Declarations(Plan(1)).upstreams.entries.first()
    private val clock = SkewedClock(timeline, 0, 0.0)
    private val upstream = FakeUpstream(declared.key, declared.value, timeline, clock, UpstreamRules())
    private val results = ArrayList<TaskResult>()

    @Test
    fun `a lease is granted once until it lapses and its epoch rises`() {
        expectThat(lease("s0")).isA<LeaseReply.Granted>().get { epoch }.isEqualTo(1)
        expectThat(lease("s1")).isA<LeaseReply.Denied>()
        expectThat(lease("s0", epoch = 1)).isA<LeaseReply.Granted>().get { epoch }.isEqualTo(1)
        pass(TTL_MILLIS)
        expectThat(lease("s1")).isA<LeaseReply.Granted>().get { epoch }.isEqualTo(2)
        upstream.release(LeaseRelease(SchedulerId("s1"), 2))
        expectThat(lease("s0")).isA<LeaseReply.Granted>().get { epoch }.isEqualTo(3)
    }

    @Test
    fun `a restarted upstream grants nothing for one lease`() {
        upstream.kill()
        upstream.restart(TTL_MILLIS)
        expectThat(lease("s0")).isA<LeaseReply.Denied>()
        pass(TTL_MILLIS)
        expectThat(lease("s0")).isA<LeaseReply.Granted>().get { upstreamIncarnation }.isEqualTo(2)
    }

    @Test
    fun `a task starts only under the epoch, the incarnation and before startBy`() {
        lease("s0")
        val good = grant("t1")
        expectThat(start(good.copy(leaseEpoch = 0))).isFalse()
        expectThat(start(good.copy(upstreamIncarnation = 0))).isFalse()
        expectThat(start(good.copy(startByUpstreamMillis = clock.millis() - 1))).isFalse()
        expectThat(start(good)).isTrue()
        expectThat(start(good)).isFalse()
        pass(TTL_MILLIS)
        expectThat(start(grant("t2"))).isFalse()
    }

    @Test
    fun `tasks end when no lease was held for the task time`() {
        lease("s0")
        start(grant("t1"))
        pass(TTL_MILLIS + TASK_TTL_MILLIS - 1)
        expectThat(results.size).isEqualTo(0)
        pass(1)
        expectThat(results).containsExactly(TaskResult.LOST)
    }

    private fun lease(
        scheduler: String,
        epoch: Long = 0,
    ) = upstream.lease(LeaseRequest(SchedulerId(scheduler), 1, epoch, TTL_MILLIS))

    private fun start(grant: Grant) = upstream.start(grant, millis(2 * TASK_TTL_MILLIS)) { results.add(it) }

    private fun pass(millis: Long) {
        timeline.runUntil(timeline.nowMicros + millis(millis)) { false }
    }

    private fun grant(task: String) =
        Grant(
            TaskId(task),
            declared.key,
            declared.value.address,
            SchedulerId("s0"),
            leaseEpoch = 1,
            upstreamIncarnation = 1,
            startByUpstreamMillis = clock.millis() + 2 * TTL_MILLIS,
            resources = Resources(slots = 1),
        )

    private companion object {
        const val TTL_MILLIS = 3_000L
        const val TASK_TTL_MILLIS = 20_000L
    }
}
