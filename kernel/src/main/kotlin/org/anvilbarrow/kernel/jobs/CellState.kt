package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.kernel.runtimes.RunTimeModel
import org.anvilbarrow.kernel.runtimes.UpstreamSpeed
import org.anvilbarrow.kernel.workspaces.ResourceTotals
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** State shared by the components of a [Cell]. Confined to the control thread. */
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
    val usage = WorkspaceUsage()

    /** What finished runs have taught about the run times of tasks. */
    val runTimes = RunTimeModel()
    val journal = Journal(finished) { jobs -= it.id }

    /** Runs of tasks under which upstreams crashed, until they have outlasted the probation. */
    val suspectRuns = HashSet<Run>()

    /** Steps with waiting tasks whose dependencies are done. */
    val ready = LinkedHashSet<StepRun>()

    /** Start of the last read of the platform's list that returned all changes. */
    var listConfirmedAt: Instant = Instant.MIN

    /** Set when free capacity, steps or tickets change, so that waiting tasks are considered again. */
    var dispatchNeeded = false

    /** Upstreams that restarted or vanished without announcing it, and runs that ended with an unknown result. */
    var crashedUpstreams = 0L
    var lostRuns = 0L

    /** When the store last confirmed the claim of this owner. */
    var confirmedAt: Instant = claimedAt
    private var lastRunNumber = 0L
    private var effects = ArrayList<CellEffect>()

    fun emit(effect: CellEffect) {
        effects += effect
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

    /** Returns the fencing token for orders to [upstream]: above those of earlier owners and of earlier relays. */
    fun tokenFor(upstream: Upstream): Long {
        check(upstream.relayEpoch < MAX_RELAY_EPOCHS) {
            "$upstream has had $MAX_RELAY_EPOCHS relays under token $token"
        }
        return token * MAX_RELAY_EPOCHS + upstream.relayEpoch
    }

    /** Resigns because [upstream] has seen a higher token: another process owns the shard. */
    fun displacedAt(upstream: UpstreamId): Unit = emit(CellEffect.Resign("upstream $upstream has a later token"))

    /** Returns the learned speed level of each listed upstream. */
    fun speedLevels(): List<Int> {
        val speeds = upstreams.values.filter { it.isListed }.map { it.speed }
        val average = UpstreamSpeed.averageOf(speeds)
        return speeds.map { it.level(average) }
    }

    fun takeEffects(): List<CellEffect> = effects.also { effects = ArrayList() }

    /** Returns the part of the limit of [workspace] that this shard may use, or null if there is no such workspace. */
    fun limitOf(workspace: String): ResourceTotals? =
        config
            ?.workspaces
            ?.get(workspace)
            ?.limit
            ?.dividedBy(limits.shards)

    fun queueOf(job: JobRun): QueueConfig? = config?.queues?.get(job.queue)

    /**
     * Returns a run number above all earlier ones of this shard.
     *
     * The upper bits hold the token, so that a successor can go on without a stored record of each start.
     */
    fun nextRunNumber(): Long {
        lastRunNumber++
        check(lastRunNumber < 1L shl RUN_BITS) { "more than 2^$RUN_BITS runs started under token $token" }
        return (token shl RUN_BITS) + lastRunNumber
    }

    private companion object {
        /** Bits for the runs under one token. With 24, tokens up to 2^29 stay below 2^53, and JSON numbers exact. */
        const val RUN_BITS = 24

        /** Maximum number of relays that one upstream may have under one token. */
        const val MAX_RELAY_EPOCHS = 4_096L
    }
}
