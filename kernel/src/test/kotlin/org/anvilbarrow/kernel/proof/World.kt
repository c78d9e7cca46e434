package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.KernelLimits
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.util.SplittableRandom

/** One simulated run: schedulers, upstreams, callers, log and VM list on one thread and one controlled clock. */
internal class World(
    val plan: Plan,
    val mutation: Mutation = Mutation(),
    /** Ends the run; later violations often follow from the first one. */
    private val endsRun: (Violation) -> Boolean = { true },
) {
    val timeline = Timeline()
    val random = SplittableRandom(plan.seed)
    val trace = Trace(timeline)
    val limits = KernelLimits(idRetention = Duration.ofSeconds(ID_RETENTION_SECONDS))
    val network = Network(timeline, random.split(), plan.quality)
    val log = FakeLog()
    val reference = ReferenceCatalog()
    val declared = Declarations(plan)
    val upstreams =
        declared.upstreams.map { (id, spec) ->
            FakeUpstream(id, spec, timeline, upstreamClock(), mutation.upstreamRules)
        }
    val hosts: List<SchedulerHost> =
        List(plan.schedulers) {
            SchedulerHost(SchedulerId("s$it"), "r${it % plan.regions}", schedulerClock(), this)
        }
    val checker = Checker(this)
    val effects = EffectRunner(this)
    val callers = Callers(this)
    private val faults = FaultInjector(this)
    private val goneFromVmList = HashSet<UpstreamId>()
    private val byId = upstreams.associateBy { it.id }
    private val runRandom = random.split()

    /** Called after each effect was queued; lets a table test time a fault by what the kernel just decided. */
    var onEffect: (SchedulerHost, Effect) -> Unit = { _, _ -> }

    /** Called after each step of a kernel with the effects that it returned. */
    var onStep: (SchedulerHost, Event, List<Effect>) -> Unit = { _, _, _ -> }

    fun upstream(id: UpstreamId): FakeUpstream = byId.getValue(id)

    fun afterEffect(
        host: SchedulerHost,
        effect: Effect,
    ) = onEffect(host, effect)

    /** Runs the plan until its end or the first violation. */
    fun run(): List<Violation> {
        declared.changes.forEach(::append)
        hosts.forEach { host -> timeline.after(millis(random.nextLong(MAX_START_DELAY_MILLIS))) { host.start() } }
        callers.schedule()
        plan.faults.forEach { timeline.after(millis(LOAD_START_MILLIS + it.atMillis)) { faults.inject(it.fault) } }
        timeline.after(millis(HEALED_MILLIS)) { network.healQuality() }
        timeline.runUntil(millis(END_MILLIS)) {
            checker.violations.any(endsRun) ||
                checker.violations.size > MAX_VIOLATIONS
        }
        return checker.violations
    }

    fun append(payload: String) {
        log.append(payload)
        recordAppended()
    }

    fun append(payload: CatalogPayload) {
        log.append(payload)
        recordAppended()
    }

    fun logAnswers(host: SchedulerHost): Boolean = log.reachable && !network.isCut(host.name, LOG_NODE)

    /** Starts the periodic work of the process that [host] runs now. */
    fun serveProcess(host: SchedulerHost) {
        val process = host.process
        tick(host, process)
        readLog(host, process)
        readVmList(host, process)
    }

    /** Removes [id] from the VM list for good. */
    fun removeVm(id: UpstreamId) {
        goneFromVmList.add(id)
    }

    fun stopCompleted(host: SchedulerHost) {
        host.kill()
        faults.stopCompleted(host)
    }

    fun exchangeOpened(exchange: Exchange) = checker.opened(exchange)

    fun ended(exchange: Exchange) {
        exchange.endedInTime = exchange.host.clock.millis() < exchange.request.deadlineEpochMillis
        trace.add("call", "$exchange gets ${exchange.ending}")
        callers.ended(exchange)
    }

    /** Run time of the next task: mostly near the declared one, sometimes far off until all faults have healed. */
    fun runMicros(): Long =
        if (runRandom.nextInt(LONG_RUN_ONE_IN) == 0 && timeline.nowMicros < millis(HEALED_MILLIS)) {
            millis(runRandom.nextLong(1_000, MAX_RUN_MILLIS))
        } else {
            millis(runRandom.nextLong(1, 2 * Declarations.EXPECTED_RUN_MILLIS))
        }

    private fun recordAppended() {
        reference.follow(log)
        checker.appended()
    }

    private fun tick(
        host: SchedulerHost,
        process: Long,
    ) {
        if (!host.alive || host.process != process) return
        if (!host.frozen) host.step(Event.Tick)
        timeline.after(limits.tick.toMillis() * MICROS_PER_MILLI) { tick(host, process) }
    }

    private fun readLog(
        host: SchedulerHost,
        process: Long,
    ) {
        host.run(process) {
            val answers = logAnswers(host)
            val records = log.read(host.state.catalog.appliedOffset)
            val end = log.endOffset
            val delay = if (log.slow) random.nextLong(MAX_SLOW_LOG_MILLIS) else random.nextLong(1, LOG_DELAY_MILLIS)
            timeline.after(millis(delay)) {
                host.run(process) { host.step(if (answers) Event.LogRead(records, end) else Event.LogUnreachable) }
                val wait = if (answers && records.isNotEmpty()) 0 else LOG_POLL_MILLIS
                timeline.after(millis(wait)) { readLog(host, process) }
            }
        }
    }

    private fun readVmList(
        host: SchedulerHost,
        process: Long,
    ) {
        host.run(process) {
            val answers = !network.isCut(host.name, VM_LIST_NODE)
            val entries =
                upstreams.filter { it.id !in goneFromVmList }.map {
                    VmEntry(it.id.value, if (faults.listedAsLeaving(it.id)) VmState.LEAVING else VmState.LIVE)
                }
            timeline.after(millis(random.nextLong(MAX_VM_LIST_LAG_MILLIS))) {
                if (answers) host.run(process) { host.step(Event.VmListRead(entries)) }
                timeline.after(millis(VM_LIST_POLL_MILLIS)) { readVmList(host, process) }
            }
        }
    }

    private fun upstreamClock() =
        SkewedClock(
            timeline,
            random.nextLong(-MAX_UPSTREAM_OFFSET_MICROS, MAX_UPSTREAM_OFFSET_MICROS),
            random.nextDouble(-MAX_DRIFT, MAX_DRIFT),
        )

    private fun schedulerClock() =
        SkewedClock(
            timeline,
            random.nextLong(-SCHEDULER_BOUND_MICROS, SCHEDULER_BOUND_MICROS),
            random.nextDouble(-MAX_DRIFT, MAX_DRIFT),
            SCHEDULER_BOUND_MICROS,
        )

    companion object {
        const val LOG_NODE = "log"
        const val VM_LIST_NODE = "vms"

        /** Time for the schedulers to take their leases and for ids to be newer than their homes. */
        const val LOAD_START_MILLIS = 8_000L
        const val LOAD_MILLIS = 18_000L

        /** Latest time of a fault and longest fault, so that all have healed at [HEALED_MILLIS]. */
        const val MAX_FAULT_AT_MILLIS = 8_000L
        const val MAX_FAULT_MILLIS = 9_000L
        const val HEALED_MILLIS = LOAD_START_MILLIS + LOAD_MILLIS
        const val PROBE_MILLIS = HEALED_MILLIS + 9_000L
        const val END_MILLIS = PROBE_MILLIS + 8_000L

        /** Short, so that runs outlast it. */
        private const val ID_RETENTION_SECONDS = 12L
        private const val MAX_VIOLATIONS = 20_000
        private const val MAX_START_DELAY_MILLIS = 300L
        private const val LOG_DELAY_MILLIS = 20L
        private const val LOG_POLL_MILLIS = 200L
        private const val MAX_SLOW_LOG_MILLIS = 3_000L
        private const val VM_LIST_POLL_MILLIS = 500L
        private const val MAX_VM_LIST_LAG_MILLIS = 700L
        private const val LONG_RUN_ONE_IN = 20
        private const val MAX_RUN_MILLIS = 5_000L

        /** Two clocks then differ by less than 1% (A5). */
        private const val MAX_DRIFT = 0.0049
        private const val MAX_UPSTREAM_OFFSET_MICROS = 3_600_000_000L

        /** Half of the 500 ms by which two schedulers may differ. */
        private const val SCHEDULER_BOUND_MICROS = 250_000L
    }
}
