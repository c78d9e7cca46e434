package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.ConfirmedConfig
import org.anvilbarrow.adapters.cell.JobGateway
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.QueueConfig
import org.anvilbarrow.kernel.jobs.SubmissionCheck
import org.anvilbarrow.kernel.workspaces.AccessDecision
import org.anvilbarrow.kernel.workspaces.ApiKeyDigest
import org.anvilbarrow.kernel.workspaces.CallerAccess
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobRequest
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicLong

/**
 * Forwards caller requests to the owners of their shards.
 *
 * Requests are idempotent because they name a job by its id. A request whose owner left is sent to the next owner
 * until the caller's deadline.
 */
internal class OwnerGateway(
    private val shards: Int,
    private val clock: InstantSource,
    private val currentConfig: () -> ConfirmedConfig?,
    private val access: CallerAccess,
    private val decisions: DecisionLog,
    /** True while this process cannot reach the owner of a shard and expects no new owner. */
    private val isCutOff: (shard: Int) -> Boolean = { false },
    /** Called with whether the process that answered for a shard says that it is the owner. */
    private val onOwnershipReport: (shard: Int, isOwner: Boolean) -> Unit = { _, _ -> },
    /** Sends a request to the owner of a shard; returns the owner's address, or null if no owner is connected. */
    private val send: (shard: Int, call: Long, request: JobRequest) -> String?,
) : JobGateway {
    private class OpenCall(
        val number: Long,
        val shard: Int,
        val request: JobRequest,
    ) {
        val answer = CompletableFuture<JobAnswer>()

        /** Process whose answer has completed the call, or null. */
        @Volatile
        var answeredBy: String? = null
            private set

        private var closed = false

        /** Copies of the request that were sent and not answered as having had no effect. */
        private var effectiveSends = 0
        private var refusal: JobAnswer.Refused? = null
        private var refusedBy: String? = null

        @Volatile
        var sentTo: String? = null
            private set

        @Volatile
        var sentAt: Instant = Instant.MIN
            private set

        /** Calls [send] unless the call is closed. */
        @Synchronized
        fun forward(
            now: Instant,
            send: () -> String?,
        ) {
            if (closed) return
            sentAt = now
            val to = send() ?: return
            sentTo = to
            effectiveSends++
        }

        /**
         * Handles the answer to one copy of the request.
         *
         * A refusal is passed on only if no other copy has taken effect or may still do so.
         */
        @Synchronized
        fun answered(
            received: JobAnswer,
            from: String,
        ) {
            when (received) {
                JobAnswer.NotOwner -> sentTo = null
                is JobAnswer.Refused -> {
                    refusal = received
                    refusedBy = from
                }
                else -> {
                    complete(received, from)
                    return
                }
            }
            effectiveSends--
            val refused = refusal ?: return
            if (effectiveSends > 0) return
            closed = true
            complete(refused, refusedBy)
        }

        private fun complete(
            with: JobAnswer,
            from: String?,
        ) {
            if (answer.isDone) return
            answeredBy = from
            answer.complete(with)
        }

        /** Returns the shard, the process that answered, and the call number by which its log names this call. */
        fun origin(): String = "of shard $shard from ${answeredBy ?: "no process"}, call $number"

        /** Closes the call and returns true, unless a copy of the request may take effect. */
        @Synchronized
        fun closeIfUnsent(): Boolean {
            if (effectiveSends > 0) return false
            closed = true
            return true
        }
    }

    private val open = ConcurrentHashMap<Long, OpenCall>()
    private val lastCall = AtomicLong()

    override fun config(): CellConfig? = currentConfig()?.config

    override fun authorize(
        queue: QueueConfig,
        key: ApiKeyDigest?,
    ): AccessDecision {
        val confirmed = currentConfig() ?: return AccessDecision.Unconfirmed("no configuration yet")
        val age = confirmed.age()
        val decision = access.decide(confirmed.config.workspaces, queue.isPublic, key, age)
        val reason =
            when (decision) {
                is AccessDecision.Granted -> return decision
                is AccessDecision.Denied -> decision.reason
                is AccessDecision.Unconfirmed -> decision.reason
            }
        val detail = "$reason, version ${confirmed.config.version}, confirmed ${age.toMillis()} ms ago"
        decisions.write("call-unauthorized", queue.name, detail, clock.instant())
        return decision
    }

    override fun ask(
        request: JobRequest,
        wait: Duration,
    ): JobAnswer {
        // A malformed submission may exceed the frame size limit of messages to the owner.
        val problem = (request as? JobRequest.Submit)?.let(SubmissionCheck::problemOf)
        if (problem != null) return JobAnswer.Invalid(problem)
        val job = jobOf(request) ?: return pending(request as JobRequest.Pending, wait)
        if (request is JobRequest.Submit && wait < MIN_WAIT) {
            return JobAnswer.Refused("the caller leaves in $wait, before it could be told", 0).also { log(job, it) }
        }
        val shard = shardOf(job)
        if (isCutOff(shard)) return cutOff(shard).also { log(job, it) }
        return await(listOf(begin(shard, request)), wait).first().also { log(job, it) }
    }

    /** Logs refusals and unknown outcomes; the owner logs all other answers. */
    private fun log(
        job: JobId,
        answer: JobAnswer,
    ) {
        when (answer) {
            is JobAnswer.Refused -> decisions.write("request-refused", "$job", answer.reason, clock.instant())
            is JobAnswer.Unknown -> decisions.write("request-unknown", "$job", answer.reason, clock.instant())
            else -> Unit
        }
    }

    private fun jobOf(request: JobRequest): JobId? =
        when (request) {
            is JobRequest.Submit -> request.job
            is JobRequest.Status -> request.job
            is JobRequest.Cancel -> request.job
            is JobRequest.Pending -> null
        }

    private fun shardOf(job: JobId): Int = Math.floorMod(job.value.hashCode(), shards)

    /** Adds up the counts of all shards; fails if one of them is missing. */
    private fun pending(
        request: JobRequest.Pending,
        wait: Duration,
    ): JobAnswer {
        val numbers = (0 until shards).map { begin(it, request) }
        val calls = numbers.map(open::getValue)
        val answers = await(numbers, wait)
        val counts = answers.filterIsInstance<JobAnswer.Count>()
        val total =
            if (counts.size == shards) {
                JobAnswer.Count(counts.sumOf { it.pending })
            } else {
                answers.first { it !in counts }
            }
        val parts = calls.zip(answers) { call, answer -> "${describe(answer)} ${call.origin()}" }
        val detail = "${describe(total)}: ${parts.joinToString("; ")}"
        decisions.write("pending-answered", request.queue, detail, clock.instant())
        return total
    }

    private fun describe(answer: JobAnswer): String =
        if (answer is JobAnswer.Count) "count ${answer.pending}" else "$answer"

    private fun begin(
        shard: Int,
        request: JobRequest,
    ): Long {
        val number = lastCall.incrementAndGet()
        val call = OpenCall(number, shard, request)
        open[number] = call
        forward(number, call)
        return number
    }

    private fun forward(
        number: Long,
        call: OpenCall,
    ) {
        call.forward(clock.instant()) { send(call.shard, number, call.request) }
    }

    private fun await(
        numbers: List<Long>,
        wait: Duration,
    ): List<JobAnswer> {
        val start = clock.instant()
        return numbers.map { number ->
            val call = open.getValue(number)
            try {
                await(call, start, start.plus(wait))
            } finally {
                open -= number
            }
        }
    }

    /** Waits for an answer until [deadline], or gives up earlier if there is no owner to send the request to. */
    private fun await(
        call: OpenCall,
        start: Instant,
        deadline: Instant,
    ): JobAnswer {
        var until = start.plus(OWNER_WAIT)
        while (until.isBefore(deadline)) {
            answer(call, until)?.let { return it }
            if (call.closeIfUnsent()) return noOwner(call)
            until = until.plus(OWNER_WAIT)
        }
        return answer(call, deadline)
            ?: noOwner(call).takeIf { call.closeIfUnsent() }
            ?: JobAnswer.Unknown("the owner of shard ${call.shard} (${call.sentTo}) has not answered in time")
    }

    private fun noOwner(call: OpenCall) =
        JobAnswer.Refused("no owner of shard ${call.shard} is connected", RETRY_AFTER.toMillis())

    /** Another process may reach the owner, so the caller may retry there at once. */
    private fun cutOff(shard: Int) = JobAnswer.Refused("this process is cut off from the owner of shard $shard", 0)

    /** Waits for the answer until [deadline]; returns null on timeout. */
    private fun answer(
        call: OpenCall,
        deadline: Instant,
    ): JobAnswer? =
        try {
            val left = Duration.between(clock.instant(), deadline).toMillis().coerceAtLeast(0)
            call.answer.get(left, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        } catch (e: ExecutionException) {
            JobAnswer.Unknown(e.toString())
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
            JobAnswer.Unknown(e.toString())
        }

    /** Handles the answer of the process [from] to call [number]. */
    fun answered(
        number: Long,
        answer: JobAnswer,
        from: String,
    ) {
        val call = open[number] ?: return
        onOwnershipReport(call.shard, answer != JobAnswer.NotOwner)
        call.answered(answer, from)
    }

    /** Sends calls again whose owner changed, left or did not answer within [RESEND_INTERVAL]. */
    fun resend(ownerOf: (Int) -> String?) {
        val now = clock.instant()
        open.forEach { (number, call) ->
            val owner = ownerOf(call.shard)
            val moved = owner != null && owner != call.sentTo
            if (moved || Duration.between(call.sentAt, now) > RESEND_INTERVAL) forward(number, call)
        }
    }

    private companion object {
        /** An owner answers after one append (70 ms from another region), unless the store is slow. */
        val RESEND_INTERVAL: Duration = Duration.ofMillis(800)

        /**
         * How long a request waits for an owner to send it to.
         *
         * A dead owner is replaced after 0.9 s, a silent one after 1.4 s. A refused caller retries later.
         */
        val OWNER_WAIT: Duration = Duration.ofMillis(1_400)

        /** An answer from an owner in another region takes 60 ms on the network and 10 ms at the store. */
        val MIN_WAIT: Duration = Duration.ofMillis(75)

        /** After [OWNER_WAIT], processes are still starting or cut off. `Retry-After` counts whole seconds. */
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)
    }
}
