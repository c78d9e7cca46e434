package org.anvilbarrow.benchmarks.simulation

import org.anvilbarrow.benchmarks.cell.Cell
import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.cell.Place
import org.anvilbarrow.benchmarks.measure.Endpoint
import org.anvilbarrow.benchmarks.measure.Waits
import org.anvilbarrow.benchmarks.workload.Arrival
import org.anvilbarrow.benchmarks.workload.WorkloadMix
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.KernelLimits
import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult

/** All schedulers of a cell with the real kernel, on fakes of the network, the upstreams, the log and the VM list. */
internal class CellSimulation(
    shape: CellShape,
    mix: WorkloadMix,
    private val limits: KernelLimits = KernelLimits(),
) {
    val timeline: Timeline = Timeline()
    val cell: Cell = Cell(shape)
    val network: Network = Network(shape, timeline)
    val waits: Waits = Waits()
    val upstreams: Map<UpstreamId, FakeUpstream> = cell.upstreams.associate { it.id to FakeUpstream(it, timeline) }
    val nodes: Map<SchedulerId, SchedulerNode>

    /** Requests that have arrived and neither started nor got a final outcome. */
    val waiting: MutableMap<ExchangeId, Arrival> = LinkedHashMap()

    /** Requests with at least one running task. */
    val running: MutableMap<ExchangeId, Arrival> = LinkedHashMap()

    var logAppends: Int = 0
        private set

    /** Starts of a non-idempotent request after its first; must stay 0. */
    var repeatedStarts: Int = 0
        private set

    private val port = UpstreamPort(upstreams, network, timeline)
    private val exchanges = HashMap<ExchangeId, Arrival>()
    private val ingressOf = HashMap<ExchangeId, SchedulerNode>()
    private val grantsOf = HashMap<ExchangeId, List<Grant>>()
    private val downSince = HashMap<UpstreamId, Long>()
    private val startedOnce = HashSet<ExchangeId>()
    private val abandoned = HashSet<ExchangeId>()
    private val log: MutableList<LogRecord> = cell.catalogRecords(mix.declarations(shape.regions)).toMutableList()

    init {
        val kernel = Kernel(limits)
        val ids = cell.schedulers.map { it.id }
        nodes = cell.schedulers.associate { it.id to SchedulerNode(it, ids - it.id, timeline, kernel, ::carryOut) }
        nodes.values.forEachIndexed(::drive)
    }

    private fun drive(
        index: Int,
        node: SchedulerNode,
    ) {
        // Processes do not start at the same moment.
        val first = index * START_STAGGER_MICROS
        var readUpTo = 0
        timeline.every(LOG_POLL_MICROS, first) {
            node.handle(Event.LogRead(log.subList(readUpTo, log.size).toList(), log.size.toLong()))
            readUpTo = log.size
        }
        timeline.every(VM_POLL_MICROS, first) { node.handle(Event.VmListRead(vmList())) }
        timeline.every(limits.tick.toNanos() / NANOS_PER_MICRO, first) { node.handle(Event.Tick) }
    }

    private fun vmList(): List<VmEntry> =
        cell.upstreams
            .filter { timeline.nowMicros - (downSince[it.id] ?: timeline.nowMicros) < VM_LIST_LAG_MICROS }
            .map { VmEntry(it.id.value, VmState.LIVE) }

    /** Lets [fault] happen now. */
    fun inject(fault: Fault) {
        val first = cell.schedulers.first()
        when (fault) {
            Fault.NONE -> return

            Fault.OWNER_DEAD -> kill(nodes.getValue(first.id))

            Fault.DOMAIN_DOWN -> {
                nodes.values.filter { it.identity.failureDomain == first.failureDomain }.forEach(::kill)
                upstreams.values.filter { it.described.place.failureDomain == first.failureDomain }.forEach(::kill)
            }
        }
    }

    private fun kill(node: SchedulerNode) {
        node.alive = false
        val lost = waiting.keys.filter { ingressOf[it] === node }
        lost.forEach { waits.unknown(waiting.getValue(it).share.waitClass) }
        waiting -= lost.toSet()
    }

    private fun kill(upstream: FakeUpstream) {
        upstream.fail()
        downSince[upstream.described.id] = timeline.nowMicros
    }

    /** Schedules [arrivals]; each goes to one live scheduler of the caller's region in turn. */
    fun offer(arrivals: List<Arrival>) = arrivals.forEach { timeline.at(it.atMicros) { arrive(it) } }

    private fun arrive(arrival: Arrival) {
        val exchange = ExchangeId(arrival.number.toLong())
        val local = nodes.values.filter { it.alive && it.identity.region == arrival.callerRegion }
        val node = local[arrival.number % local.size]
        val now = timeline.instant().toEpochMilli()
        val request =
            WorkRequest(
                RequestId("request-${arrival.number}"),
                arrival.workload,
                issuedAtEpochMillis = now,
                deadlineEpochMillis = now + arrival.share.deadlineMillis,
                firstAttempt = true,
                bodyBytes = arrival.share.bodyBytes,
            )
        exchanges[exchange] = arrival
        waiting[exchange] = arrival
        ingressOf[exchange] = node
        waits.offered(arrival.share.waitClass)
        timeline.after(CellShape.CALLER_DELAY_MICROS) { node.handle(Event.RequestArrived(exchange, request)) }
    }

    private fun carryOut(
        node: SchedulerNode,
        effect: Effect,
    ) {
        when (effect) {
            is Effect.SendToPeer -> send(node, effect)
            is Effect.RequestLease -> port.requestLease(node, effect)
            is Effect.ReleaseLease -> port.releaseLease(node, effect)
            is Effect.Execute -> execute(node, effect)
            is Effect.Abandon -> abandon(node, effect.exchange)
            is Effect.Answer -> answer(effect)
            is Effect.AppendToLog -> append(node, effect)
            is Effect.StopCompleted -> node.alive = false
        }
    }

    private fun send(
        node: SchedulerNode,
        effect: Effect.SendToPeer,
    ) {
        val to = nodes.getValue(effect.to)
        val bytes = LENGTH_PREFIX_BYTES + PeerCodec.encode(effect.message).size
        network.send(effect.message.javaClass.simpleName, node.endpoint, to.endpoint, bytes) {
            to.handle(Event.PeerMessageReceived(node.identity.id, effect.message))
        }
    }

    private fun execute(
        node: SchedulerNode,
        effect: Effect.Execute,
    ) {
        val arrival = exchanges.getValue(effect.exchange)
        grantsOf[effect.exchange] = effect.grants
        effect.grants.forEach { grant ->
            port.execute(
                node,
                grant,
                arrival.runMicros,
                started = { started(effect.exchange, arrival, effect.grants.size) },
                finished = { finished(node, effect.exchange, grant.task, it) },
            )
        }
    }

    private fun abandon(
        node: SchedulerNode,
        exchange: ExchangeId,
    ) {
        abandoned += exchange
        grantsOf[exchange].orEmpty().forEach { port.stop(node, it) }
    }

    private fun started(
        exchange: ExchangeId,
        arrival: Arrival,
        tasks: Int,
    ) {
        if (startedOnce.add(exchange)) {
            waits.started(arrival.share.waitClass, timeline.nowMicros - arrival.atMicros)
        } else if (!arrival.share.idempotent && tasks == 1) {
            repeatedStarts++
        }
        waiting -= exchange
        running[exchange] = arrival
    }

    private fun finished(
        node: SchedulerNode,
        exchange: ExchangeId,
        task: TaskId,
        result: TaskResult,
    ) {
        running -= exchange
        if (exchange in abandoned) return
        val isAnswered = result == TaskResult.ANSWERED
        node.handle(Event.TaskFinished(exchange, task, result, answerStarted = isAnswered))
    }

    private fun answer(effect: Effect.Answer) {
        val arrival = exchanges.getValue(effect.exchange)
        waiting -= effect.exchange
        when (effect.outcome) {
            is Outcome.Refused -> waits.refused(arrival.share.waitClass)
            is Outcome.Unknown -> waits.unknown(arrival.share.waitClass)
        }
    }

    private fun append(
        node: SchedulerNode,
        effect: Effect.AppendToLog,
    ) {
        logAppends++
        network.send("LogAppend", node.endpoint, LOG_ENDPOINT, effect.payload.length) {
            log += LogRecord(log.size.toLong(), effect.payload)
        }
    }

    private companion object {
        const val NANOS_PER_MICRO = 1000L
        const val LENGTH_PREFIX_BYTES = 4
        const val START_STAGGER_MICROS = 37 * MICROS_PER_MILLI
        const val LOG_POLL_MICROS = MICROS_PER_SECOND
        const val VM_POLL_MICROS = MICROS_PER_SECOND

        /** A dead VM stays in the VM list for this long; an assumption. */
        const val VM_LIST_LAG_MICROS = 10 * MICROS_PER_SECOND
        val LOG_ENDPOINT = Endpoint("log", Place("log", "log"))
    }
}
