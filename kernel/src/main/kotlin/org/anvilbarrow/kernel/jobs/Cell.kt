package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import java.time.Instant

/**
 * Scheduler of one shard at the shard's owner: durable jobs, their runs and the upstreams of the shard.
 *
 * It does no I/O: it handles events and returns effects for the caller to carry out. It is confined to one thread:
 * ```
 * val cell = Cell(token, limits, loaded, now)
 * val effects = cell.handle(CellEvent.Tick, now)
 * ```
 */
public class Cell(
    self: String,
    token: Long,
    limits: CellLimits,
    loaded: LoadedShard,
    now: Instant,
) {
    private val state = CellState(self, token, limits, now)
    private val leases = Leases(state)
    private val relays = Relays(state)
    private val jobs: JobController = JobController(state) { runs.stopAll(it) }
    private val crashes = CrashTracker(state, jobs)
    private val learner = RunTimeLearner(state)
    private val outcomes = TaskOutcomes(state, jobs, crashes, learner)
    private val runs: RunController = RunController(state, leases, outcomes, relays, crashes, learner)
    private val watch = UpstreamWatch(state, leases, runs, relays, crashes)
    private val workspaceLimits = WorkspaceLimits(state, watch::unobserved)
    private val dispatcher = Dispatcher(state, runs, workspaceLimits::unused)
    private val evacuation = Evacuation(state, runs)
    private val monitor = RunMonitor(state, runs)
    private val pending = PendingGauges(state)

    init {
        watch.load(loaded)
        state.finished.load(loaded.finished)
        loaded.jobs.forEach(::load)
        state.journal.orphaned(loaded.orphanedKeys)
    }

    private fun load(loaded: LoadedJob) {
        val job = JobRun(loaded.id, loaded.submission)
        job.stored = true
        job.blockedByTakeover = watch.hasUnobserved
        state.jobs[job.id] = job
        loaded.progress?.let(job::restore)
        job.progressParts = loaded.progressParts
        job.crashParts = loaded.crashParts
        crashes.load(job, loaded)
        job.steps.values.forEach(jobs::enqueueIfReady)
        jobs.openDueOccurrences(job)
    }

    /** Jobs that are not finished. */
    public val openJobs: Int get() = state.jobs.values.count { !it.phase.isFinal }

    /** Runs whose end is not known. */
    public val openRuns: Int get() = state.upstreams.values.sumOf { it.runs.size }

    /** Jobs that callers are told are pending, as of the last second. */
    public val pendingJobs: Int get() = pending.jobs.pending

    /** Open jobs that have start orders, none of which an upstream has confirmed, as of the last second. */
    public val unconfirmedJobs: Int get() = pending.jobs.unconfirmed

    /** Runs that were ordered and that no upstream has confirmed, as of the last second. */
    public val unconfirmedStarts: Int get() = pending.unconfirmedStarts

    /** Steps that wait for capacity or advice. */
    public val waitingSteps: Int get() = state.ready.size

    /** Upstreams that restarted or vanished without announcing it, since this owner claimed the shard. */
    public val crashedUpstreams: Long get() = state.crashedUpstreams

    /** Runs that ended with an unknown result, since this owner claimed the shard. */
    public val lostRuns: Long get() = state.lostRuns

    /** Upstreams that run tasks slower or faster than the average of all, as far as that is certain. */
    public val slowUpstreams: Int get() = state.speedLevels().count { it < 0 }
    public val fastUpstreams: Int get() = state.speedLevels().count { it > 0 }

    /** Records that the store confirmed this owner's claim as the newest at [at]. */
    public fun confirmed(at: Instant) {
        state.confirmedAt = at
    }

    /** Handles [event] and returns the effects to carry out, in order. */
    public fun handle(
        event: CellEvent,
        now: Instant,
    ): List<CellEffect> = handle(listOf(event), now)

    /** Handles [events] in order, dispatches waiting tasks once, and returns the effects to carry out, in order. */
    public fun handle(
        events: List<CellEvent>,
        now: Instant,
    ): List<CellEffect> {
        state.now = now
        events.forEach(::apply)
        if (state.dispatchNeeded) dispatcher.dispatch()
        state.journal.next(now)?.let { state.emit(CellEffect.Store(it)) }
        return state.takeEffects()
    }

    private fun apply(event: CellEvent) {
        when (event) {
            CellEvent.Tick -> tick()
            is CellEvent.Configured -> configure(event.config)
            is CellEvent.Listed -> watch.listed(event.entries)
            is CellEvent.ListConfirmed -> state.listConfirmedAt = event.readBeganAt
            is CellEvent.Requested -> jobs.handle(event.call, event.request)
            is CellEvent.Reported -> reported(event)
            is CellEvent.Advised -> dispatcher.advised(event.call, event.good)
            is CellEvent.HelpersChanged -> helpersChanged(event.helpers)
            CellEvent.Stored -> state.journal.stored()
            is CellEvent.RecordRefused -> jobs.recordRefused(event.key)
            CellEvent.StoreFenced -> state.emit(CellEffect.Resign("the store rejected a batch of this owner"))
        }
    }

    private fun reported(event: CellEvent.Reported) {
        val order = event.order
        val report = event.report
        when (order) {
            is UpstreamOrder.Observe if report is UpstreamReport.Observed ->
                watch.observed(order, event.sentAt, report.result)
            is UpstreamOrder.Start if report is UpstreamReport.Started -> runs.startReturned(order, report.result)
            is UpstreamOrder.Stop if report is UpstreamReport.Stopped -> runs.stopReturned(order, report.result)
            else -> error("order $order was answered by a report of another kind: $report")
        }
    }

    private fun helpersChanged(helpers: List<CellMember>) {
        dispatcher.helpersChanged(helpers.map { it.address })
        relays.setMembers(helpers)
    }

    private fun tick() {
        relays.tick()
        jobs.tick()
        monitor.tick()
        evacuation.tick()
        dispatcher.tick()
        watch.tick()
        pending.tick()
        // The expiry of tickets and the end of a quarantine cause no event.
        state.dispatchNeeded = true
    }

    private fun configure(config: CellConfig) {
        if (config.version < (state.config?.version ?: 0)) return
        state.config = config
        outcomes.configured()
        jobs.configured()
        state.dispatchNeeded = true
    }
}
