package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** Everything that the parts of a [Cell] share; owned by the control thread. */
internal class CellState(
    /** Address of the process that owns the shard. */
    val self: String,
    val token: Long,
    val limits: CellLimits,
    val claimedAt: Instant,
) {
    var now: Instant = claimedAt
    var config: CellConfig? = null
    val jobs = LinkedHashMap<JobId, JobRun>()
    val upstreams = LinkedHashMap<UpstreamId, Upstream>()
    val finished = FinishedJobs()
    val journal = Journal(finished) { jobs -= it.id }

    /** Steps that are open and have waiting tasks. */
    val ready = LinkedHashSet<StepRun>()

    /** Set when rooms, steps or tickets changed, so that waiting tasks are looked at again. */
    var dispatchNeeded = false

    /** When the store last confirmed the claim of this owner. */
    var confirmedAt: Instant = claimedAt
    private var lastRun = 0L
    private var collected = ArrayList<CellEffect>()

    fun emit(effect: CellEffect) {
        collected += effect
    }

    fun answer(
        call: CallKey,
        answer: JobAnswer,
    ): Unit = emit(CellEffect.Answer(call, answer))

    fun decided(
        kind: String,
        subject: Any,
        detail: String,
    ): Unit = emit(CellEffect.Decided(kind, subject.toString(), detail))

    /** Returns the fencing token for orders to [upstream]: above those of earlier owners and of earlier callers. */
    fun tokenFor(upstream: Upstream): Long {
        check(upstream.relayTurn < RELAY_TURNS) { "$upstream was given to $RELAY_TURNS processes under token $token" }
        return token * RELAY_TURNS + upstream.relayTurn
    }

    /** An upstream that has seen a higher token shows that another process owns the shard. */
    fun displacedAt(upstream: UpstreamId): Unit = emit(CellEffect.Resign("upstream $upstream has a later token"))

    fun takeEffects(): List<CellEffect> = collected.also { collected = ArrayList() }

    fun queueOf(job: JobRun): QueueConfig? = config?.queues?.get(job.queue)

    /**
     * Returns a run number above all earlier ones of this shard.
     *
     * The token is in the upper bits, so that a successor needs no record of every start.
     */
    fun nextRun(): Long {
        lastRun++
        check(lastRun < 1L shl RUN_BITS) { "more than 2^$RUN_BITS runs under token $token" }
        return (token shl RUN_BITS) + lastRun
    }

    private companion object {
        /** Runs under one token. With 24 bits, tokens up to 2^29 stay below 2^53, where JSON numbers stay exact. */
        const val RUN_BITS = 24

        /** Processes that may call one upstream by turns under one token. */
        const val RELAY_TURNS = 4_096L
    }
}
