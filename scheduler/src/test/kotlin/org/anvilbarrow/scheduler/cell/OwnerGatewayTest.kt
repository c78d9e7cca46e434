package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
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

/** Requests of callers while owners answer, change and are missing. */
class OwnerGatewayTest {
    private val sent = CopyOnWriteArrayList<Long>()

    @Volatile
    private var owner: String? = "a"

    @Volatile
    private var cutOff = false
    private val heard = CopyOnWriteArrayList<Boolean>()
    private val gateway =
        OwnerGateway(2, InstantSource.system(), {
            null
        }, DecisionLog(1) { }, { cutOff }, { _, owns -> heard += owns }) { _, call, _ ->
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
    fun `an answer of the owner is handed to the caller`() {
        val answer = ask(status)
        awaitSent(1)
        gateway.answered(sent.first(), JobAnswer.NotFound)
        expectThat(answer.join()).isEqualTo(JobAnswer.NotFound)
    }

    @Test
    fun `a request that no owner was there for is refused and not sent afterwards`() {
        owner = null
        expectThat(gateway.ask(status, wait)).isA<JobAnswer.Refused>()
        owner = "a"
        gateway.resend { "a" }
        expectThat(sent).hasSize(0)
    }

    /** Guards against callers that are sent away during a takeover and come back a second later. */
    @Test
    fun `a request waits for the owner that replaces a dead one`() {
        owner = null
        val answer = ask(status)
        Thread.sleep(1_000)
        owner = "b"
        gateway.resend { "b" }
        awaitSent(1)
        gateway.answered(sent.single(), JobAnswer.Accepted)
        expectThat(answer.join()).isEqualTo(JobAnswer.Accepted)
    }

    /** Guards against an unknown outcome where the request certainly was not sent. */
    @Test
    fun `a request whose time is up before there is an owner is refused`() {
        owner = null
        expectThat(gateway.ask(status, Duration.ofMillis(200))).isA<JobAnswer.Refused>()
    }

    /** Guards against callers held for 1.4 s by a VM that a network fault separates from the cell. */
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
    fun `a request that was sent and not answered has an unknown outcome`() {
        expectThat(gateway.ask(status, Duration.ofMillis(700))).isA<JobAnswer.Unknown>()
    }

    @Test
    fun `a request whose owner changed is sent to the next one`() {
        val answer = ask(status)
        awaitSent(1)
        owner = "b"
        gateway.resend { "b" }
        awaitSent(2)
        gateway.answered(sent.last(), JobAnswer.Accepted)
        expectThat(answer.join()).isEqualTo(JobAnswer.Accepted)
    }

    @Test
    fun `a request that only a process without the shard got is refused`() {
        val answer = ask(status)
        awaitSent(1)
        owner = null
        gateway.answered(sent.first(), JobAnswer.NotOwner)
        expectThat(answer.join()).isA<JobAnswer.Refused>()
        // A process that goes on sending callers to it would hold each of them.
        expectThat(heard).containsExactly(false)
    }

    /** Guards against a refusal that says "not run" while a second copy of the request is accepted and runs. */
    @Test
    fun `a refusal of one copy does not stand while another copy is under way`() {
        val answer = ask(status)
        awaitSent(1)
        owner = "b"
        gateway.resend { "b" }
        awaitSent(2)
        gateway.answered(sent.first(), JobAnswer.Refused("the store does not answer", 1_000))
        expectThat(answer.isDone).isFalse()
        gateway.answered(sent.first(), JobAnswer.Accepted)
        expectThat(answer.join()).isEqualTo(JobAnswer.Accepted)
    }

    @Test
    fun `a request is refused once every copy of it was`() {
        val refused = JobAnswer.Refused("the store does not answer", 1_000)
        val answer = ask(status)
        awaitSent(1)
        gateway.resend { "b" }
        awaitSent(2)
        gateway.answered(sent.first(), refused)
        gateway.answered(sent.first(), JobAnswer.NotOwner)
        expectThat(answer.join()).isEqualTo(refused)
    }

    /** Guards against a message over the frame limit, which would end the connection to the owner for all callers. */
    @Test
    fun `a submission that is out of bounds is rejected before it is sent`() {
        val step = StepSpec(1, Resources(1_000, 1_000), dependsOn = List(100_000) { 0 })
        val submit = JobRequest.Submit(JobId("5c0e7a21d94b36f8"), "q", JobSpec("payload", listOf(step)))
        expectThat(gateway.ask(submit, wait)).isA<JobAnswer.Invalid>()
        expectThat(sent).isEmpty()
    }

    /** Guards against a job that is accepted for a caller who cannot be told any more and gets an unknown outcome. */
    @Test
    fun `a submission whose caller leaves before an answer could arrive is refused and not sent`() {
        val step = StepSpec(1, Resources(1_000, 1_000))
        val submit = JobRequest.Submit(JobId("5c0e7a21d94b36f8"), "q", JobSpec("payload", listOf(step)))
        expectThat(gateway.ask(submit, Duration.ofMillis(50))).isA<JobAnswer.Refused>()
        expectThat(sent).isEmpty()
    }

    @Test
    fun `pending jobs of all shards are added`() {
        val answer = ask(JobRequest.Pending("q"))
        awaitSent(2)
        sent.forEach { gateway.answered(it, JobAnswer.Count(3)) }
        expectThat(answer.join()).isEqualTo(JobAnswer.Count(6))
    }
}
