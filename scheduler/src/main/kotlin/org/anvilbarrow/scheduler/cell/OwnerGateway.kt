package org.anvilbarrow.scheduler.cell

import org.anvilbarrow.adapters.cell.JobGateway
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.SubmissionCheck
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
 * Hands requests of callers to the owners of their shards.
 *
 * Requests name a job by its id and may be sent again, so a request whose owner left is sent to the next one until the
 * caller's time is up.
 */
internal class OwnerGateway(
    private val shards: Int,
    private val clock: InstantSource,
    private val currentConfig: () -> CellConfig?,
    private val decisions: DecisionLog,
    /** True while this process does not reach the owner of a shard and no other owner is going to come. */
    private val isCutOff: (shard: Int) -> Boolean = { false },
    /** Told whether a process that was taken for the owner of a shard says that it is. */
    private val onHeard: (shard: Int, isOwner: Boolean) -> Unit = { _, _ -> },
    /** Sends a request to the owner of a shard; returns the address it went to, or null if there is none. */
    private val send: (shard: Int, call: Long, request: JobRequest) -> String?,
) : JobGateway {
    private class OpenCall(
        val shard: Int,
        val request: JobRequest,
    ) {
        val answer = CompletableFuture<JobAnswer>()

        private var closed = false

        /** Times that the request was sent, less those that were answered without an effect. */
        private var effectiveSends = 0
        private var refusal: JobAnswer.Refused? = null

        @Volatile
        var sentTo: String? = null
            private set

        @Volatile
        var sentAt: Instant = Instant.MIN
            private set

        /** Hands the request to [send] unless the call was closed. */
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
         * Takes an answer to one copy of the request.
         *
         * A refusal is true only if no other copy has had an effect or may still have one.
         */
        @Synchronized
        fun answered(received: JobAnswer) {
            when (received) {
                JobAnswer.NotOwner -> sentTo = null
                is JobAnswer.Refused -> refusal = received
                else -> {
                    answer.complete(received)
                    return
                }
            }
            effectiveSends--
            val refused = refusal ?: return
            if (effectiveSends > 0) return
            closed = true
            answer.complete(refused)
        }

        /** Keeps the request from being sent again if no owner ever got it, and returns whether that is so. */
        @Synchronized
        fun closeIfUnsent(): Boolean {
            if (effectiveSends > 0) return false
            closed = true
            return true
        }
    }

    private val open = ConcurrentHashMap<Long, OpenCall>()
    private val lastCall = AtomicLong()

    override fun config(): CellConfig? = currentConfig()

    override fun ask(
        request: JobRequest,
        wait: Duration,
    ): JobAnswer {
        // A malformed submission may be too long for a message to the owner.
        val problem = (request as? JobRequest.Submit)?.let(SubmissionCheck::problemOf)
        if (problem != null) return JobAnswer.Invalid(problem)
        val job = jobOf(request) ?: return pending(request, wait)
        if (request is JobRequest.Submit && wait < LEAST_WAIT) {
            return JobAnswer.Refused("the caller leaves in $wait, before it could be told", 0).also { log(job, it) }
        }
        val shard = shardOf(job)
        if (isCutOff(shard)) return cutOff(shard).also { log(job, it) }
        return await(listOf(begin(shard, request)), wait).first().also { log(job, it) }
    }

    /** Answers that leave a caller without its job; all others are logged by the owner. */
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

    /** Counts of all shards are added; without one of them the sum is not known. */
    private fun pending(
        request: JobRequest,
        wait: Duration,
    ): JobAnswer {
        val answers = await((0 until shards).map { begin(it, request) }, wait)
        val counts = answers.filterIsInstance<JobAnswer.Count>()
        return if (counts.size ==
            shards
        ) {
            JobAnswer.Count(counts.sumOf { it.pending })
        } else {
            answers.first { it !in counts }
        }
    }

    private fun begin(
        shard: Int,
        request: JobRequest,
    ): Long {
        val number = lastCall.incrementAndGet()
        val call = OpenCall(shard, request)
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

    /** Waits for an answer until [deadline], but gives up earlier while there is no owner to answer. */
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

    /** Another process may well reach the owner, so the caller need not wait before it asks one. */
    private fun cutOff(shard: Int) = JobAnswer.Refused("this process is cut off from the owner of shard $shard", 0)

    /** Waits for the answer until [deadline]; returns null if there is none. */
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

    /** Takes the answer to call [number]. */
    fun answered(
        number: Long,
        answer: JobAnswer,
    ) {
        val call = open[number] ?: return
        onHeard(call.shard, answer != JobAnswer.NotOwner)
        call.answered(answer)
    }

    /** Sends calls again whose owner changed, left or did not answer. */
    fun resend(ownerOf: (Int) -> String?) {
        val now = clock.instant()
        open.forEach { (number, call) ->
            val owner = ownerOf(call.shard)
            val moved = owner != null && owner != call.sentTo
            if (moved || Duration.between(call.sentAt, now) > RESEND) forward(number, call)
        }
    }

    private companion object {
        /** An owner answers within one append (70 ms from another region), unless the store is slow. */
        val RESEND: Duration = Duration.ofMillis(800)

        /**
         * How long a request waits for an owner to send it to.
         *
         * A dead owner is replaced after 0.9 s, a silent one after 1.4 s. A caller that is refused comes back later.
         */
        val OWNER_WAIT: Duration = Duration.ofMillis(1_400)

        /** An answer of an owner in another region takes 60 ms on the way and 10 ms at the store. */
        val LEAST_WAIT: Duration = Duration.ofMillis(75)

        /** After [OWNER_WAIT], processes are still starting or cut off; the header counts whole seconds. */
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)
    }
}
