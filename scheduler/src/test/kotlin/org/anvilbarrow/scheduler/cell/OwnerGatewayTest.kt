package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.kernel.workspaces.AccessBounds
import org.anvilbarrow.kernel.workspaces.CallerAccess
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList

/** Caller requests while owners answer, change or are missing. */
class OwnerGatewayTest {
    private val sent = CopyOnWriteArrayList<Long>()

    @Volatile
    private var owner: String? = "a"

    @Volatile
    private var cutOff = false
    private val ownershipReports = CopyOnWriteArrayList<Boolean>()
    private val lines = CopyOnWriteArrayList<String>()
    private val gateway =
        OwnerGateway(
            2,
            InstantSource.system(),
            {
                null
            },
            CallerAccess(AccessBounds.of(Duration.ofSeconds(5), Duration.ofSeconds(4))),
            DecisionLog(1) { lines += it },
            { cutOff },
            { _, owns ->
                ownershipReports +=
                    owns
            },
        ) { _, call, _ ->
            owner?.also { sent += call }
        }
    private val status = JobRequest.Status(JobId("5c0e7a21d94b36f8"), "q")
    private val wait = Duration.ofMillis(1_500)

    private fun ask(request: JobRequest) = CompletableFuture.supplyAsync { gateway.ask(request, wait) }

    private fun awaitSent(count: Int) {
        val deadline = System.nanoTime() + Duration.ofSeconds(5).toNanos()
        while (sent.size < count && System.nanoTime() < deadline) Thread.onSpinWait()
        expectThat(sent.size >= count).isTrue()
    }

    @Test
    fun `an answer from the owner is returned to the caller`() {
        val answer = ask(status)
        awaitSent(1)
        gateway.answered(sent.first(), JobAnswer.NotFound, "a")
        expectThat(answer.join()).isEqualTo(JobAnswer.NotFound)
    }

    @Test
    fun `a request without an owner is refused and not sent afterwards`() {
        owner = null
        expectThat(gateway.ask(status, wait)).isA<JobAnswer.Refused>()
        owner = "a"
        gateway.resend { "a" }
        expectThat(sent).hasSize(0)
    }

    /** Guards against refusals during a takeover, after which callers retry a second later. */
    @Test
    fun `a request waits for the owner that replaces a dead one`() {
        owner = null
        val answer = ask(status)
        Thread.sleep(1_000)
        owner = "b"
        gateway.resend { "b" }
        awaitSent(1)
        gateway.answered(sent.single(), JobAnswer.Accepted, "a")
        expectThat(answer.join()).isEqualTo(JobAnswer.Accepted)
    }

    /** Guards against an unknown outcome of a request that was certainly not sent. */
    @Test
    fun `a request whose deadline passes before there is an owner is refused`() {
        owner = null
        expectThat(gateway.ask(status, Duration.ofMillis(200))).isA<JobAnswer.Refused>()
    }

    /** Guards against a VM that a network partition separates from the cell and that holds callers for 1.4 s. */
    @Test
    fun `a request to a process that is cut off is refused at once and never sent`() {
        owner = null
        cutOff = true
        val begun = System.nanoTime()
        expectThat(gateway.ask(status, wait)).isA<JobAnswer.Refused>().get { retryAfterMillis }.isEqualTo(0)
        expectThat(Duration.ofNanos(System.nanoTime() - begun)).isLessThan(Duration.ofMillis(500))
        owner = "a"
        gateway.resend { "a" }
        expectThat(sent).isEmpty()
    }

    @Test
    fun `a request that was sent but not answered has an unknown outcome`() {
        expectThat(gateway.ask(status, Duration.ofMillis(700))).isA<JobAnswer.Unknown>()
    }

    @Test
    fun `a request whose owner changed is sent to the next one`() {
        val answer = ask(status)
        awaitSent(1)
        owner = "b"
        gateway.resend { "b" }
        awaitSent(2)
        gateway.answered(sent.last(), JobAnswer.Accepted, "a")
        expectThat(answer.join()).isEqualTo(JobAnswer.Accepted)
    }

    @Test
    fun `a request that reached only a process without the shard is refused`() {
        val answer = ask(status)
        awaitSent(1)
        owner = null
        gateway.answered(sent.first(), JobAnswer.NotOwner, "a")
        expectThat(answer.join()).isA<JobAnswer.Refused>()
        // Otherwise further callers would be sent to that process and wait in vain.
        expectThat(ownershipReports).containsExactly(false)
    }

    /** Guards against the refusal of a request ("not run") while a second copy of it is accepted and runs. */
    @Test
    fun `the refusal of one copy is not returned while another copy is in flight`() {
        val answer = ask(status)
        awaitSent(1)
        owner = "b"
        gateway.resend { "b" }
        awaitSent(2)
        gateway.answered(sent.first(), JobAnswer.Refused("the store does not answer", 1_000), "a")
        expectThat(answer.isDone).isFalse()
        gateway.answered(sent.first(), JobAnswer.Accepted, "a")
        expectThat(answer.join()).isEqualTo(JobAnswer.Accepted)
    }

    @Test
    fun `a request is refused once every copy of it has been refused`() {
        val refused = JobAnswer.Refused("the store does not answer", 1_000)
        val answer = ask(status)
        awaitSent(1)
        gateway.resend { "b" }
        awaitSent(2)
        gateway.answered(sent.first(), refused, "a")
        gateway.answered(sent.first(), JobAnswer.NotOwner, "a")
        expectThat(answer.join()).isEqualTo(refused)
    }

    /** Guards against an oversized message, which would close the connection to the owner for all callers. */
    @Test
    fun `a submission that exceeds the limits is rejected before it is sent`() {
        val step = StepSpec(1, Resources(1_000, 1_000), dependsOn = List(100_000) { 0 })
        val submit = JobRequest.Submit(JobId("5c0e7a21d94b36f8"), "q", JobSpec("payload", listOf(step)))
        expectThat(gateway.ask(submit, wait)).isA<JobAnswer.Invalid>()
        expectThat(sent).isEmpty()
    }

    /** Guards against accepting a job for a caller that stops waiting too early to learn the outcome. */
    @Test
    fun `a submission whose caller stops waiting before an answer could arrive is refused and not sent`() {
        val step = StepSpec(1, Resources(1_000, 1_000))
        val submit = JobRequest.Submit(JobId("5c0e7a21d94b36f8"), "q", JobSpec("payload", listOf(step)))
        expectThat(gateway.ask(submit, Duration.ofMillis(50))).isA<JobAnswer.Refused>()
        expectThat(sent).isEmpty()
    }

    @Test
    fun `pending jobs of all shards are added up`() {
        val answer = ask(JobRequest.Pending("q"))
        awaitSent(2)
        sent.forEach { gateway.answered(it, JobAnswer.Count(3), "a") }
        expectThat(answer.join()).isEqualTo(JobAnswer.Count(6))
    }

    /** Guards against a count that looks the same as the answer to another call or of a displaced owner. */
    @Test
    fun `the line of a pending count names the process and the call of each shard`() {
        val answer = ask(JobRequest.Pending("q"))
        awaitSent(2)
        gateway.answered(sent.first(), JobAnswer.NotOwner, "c")
        gateway.answered(sent.first(), JobAnswer.Count(1), "b")
        gateway.answered(sent.first(), JobAnswer.Count(9), "c")
        gateway.answered(sent.last(), JobAnswer.Count(3), "a")
        expectThat(answer.join()).isEqualTo(JobAnswer.Count(4))
        val detail = "count 4: count 1 of shard 0 from b, call 1; count 3 of shard 1 from a, call 2"
        expectThat(lines).containsExactly("event=pending-answered subject=q detail=\"$detail\"")
    }

    /** Guards against a failed request without a line, which the owner's line then seems to answer. */
    @Test
    fun `the line of a pending count that failed names the answer and who gave it`() {
        val answer = ask(JobRequest.Pending("q"))
        awaitSent(2)
        gateway.answered(sent.first(), JobAnswer.Refused("early", 1_000), "b")
        gateway.answered(sent.last(), JobAnswer.Count(3), "a")
        val refused = "Refused(reason=early, retryAfterMillis=1000)"
        expectThat(answer.join()).isA<JobAnswer.Refused>()
        val detail = "$refused: $refused of shard 0 from b, call 1; count 3 of shard 1 from a, call 2"
        expectThat(lines).containsExactly("event=pending-answered subject=q detail=\"$detail\"")
    }

    @Test
    fun `the line of a pending count that nobody answered names no process`() {
        owner = null
        expectThat(gateway.ask(JobRequest.Pending("q"), Duration.ofMillis(100))).isA<JobAnswer.Refused>()
        expectThat(lines.single()).contains("of shard 0 from no process, call 1")
    }
}
