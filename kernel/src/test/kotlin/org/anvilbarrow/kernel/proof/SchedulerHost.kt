package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.SchedulerIdentity
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import java.time.Instant
import java.time.temporal.ChronoUnit

/** How an exchange ended for its caller. */
internal enum class Ending { ANSWERED, BROKEN_OFF, REFUSED, UNKNOWN, CALLER_GONE, PROCESS_DIED }

/** A request at the process that received it. */
internal class Exchange(
    val host: SchedulerHost,
    val process: Long,
    val id: ExchangeId,
    val request: WorkRequest,
    /** When the caller sent this copy. */
    val sentAtMicros: Long,
) {
    /** What the caller got, or null while it waits. */
    var ending: Ending? = null

    /** True once the kernel has given its final outcome or was told that the caller has the answer. */
    var decided = false
    var callerGone = false

    /** The task whose answer has begun to go to the caller. */
    var streaming: TaskId? = null

    /** True if the outcome came before the deadline. */
    var endedInTime = false
    val grants = HashMap<TaskId, Grant>()

    /** Result of every task that was started for this exchange, null while it runs. */
    val results = LinkedHashMap<TaskId, TaskResult?>()

    val open: Boolean
        get() = ending == null && host.process == process && host.alive

    fun started(grant: Grant) {
        grants[grant.task] = grant
        results[grant.task] = null
    }

    override fun toString(): String = "exchange $id of ${host.id}/$process for ${request.id}"
}

/** One scheduler slot: runs the kernel of its current process on its own clock. */
internal class SchedulerHost(
    val id: SchedulerId,
    val region: String,
    val clock: SkewedClock,
    private val world: World,
) {
    private val inbox = ArrayDeque<() -> Unit>()
    private val outbox = ArrayDeque<Effect>()
    private var lastExchange = 0L
    private var previous: SchedulerState? = null
    val name: String = id.value
    val exchanges = HashMap<ExchangeId, Exchange>()

    /** Counts the processes of this slot; also their incarnation. */
    var process = 0L
        private set
    var alive = false
        private set
    var frozen = false
        private set

    /** Since when this process has been able to run without a break. */
    var steadySinceMicros = 0L
        private set
    var stopping = false
    lateinit var state: SchedulerState
        private set

    /** Offset that the last process of this slot had applied. */
    val previousOffset: Long
        get() = previous?.catalog?.appliedOffset ?: 0

    fun start() {
        process++
        alive = true
        stopping = false
        steadySinceMicros = world.timeline.nowMicros
        lastExchange = ChronoUnit.MICROS.between(Instant.EPOCH, clock.instant())
        exchanges.clear()
        val identity = SchedulerIdentity(id, process, region, "$region-1")
        val fresh = kernel().start(identity, world.hosts.map { it.id } - id, clock.instant())
        state = world.mutation.onStart(fresh, previous)
        world.trace.add(name, "process $process starts")
        world.serveProcess(this)
    }

    fun kill() {
        world.trace.add(name, "process $process ends")
        previous = state
        alive = false
        frozen = false
        inbox.clear()
        outbox.clear()
        exchanges.values.filter { it.ending == null }.forEach { it.ending = Ending.PROCESS_DIED }
    }

    /** Stops executing for [micros]; what arrives meanwhile waits, and so do effects that were not carried out. */
    fun pause(micros: Long) {
        if (!alive || frozen) return
        frozen = true
        world.trace.add(name, "pauses for ${micros / MICROS_PER_MILLI} ms")
        val paused = process
        world.timeline.after(micros) { if (process == paused && alive) resume() }
    }

    /** Runs [block] in the process that was numbered [forProcess]: now, when it resumes, or never. */
    fun run(
        forProcess: Long,
        block: () -> Unit,
    ) {
        if (!alive || process != forProcess) return
        if (frozen) inbox.addLast(block) else block()
    }

    /** Hands [event] to the kernel and queues the effects. */
    fun step(event: Event) {
        world.checker.beforeStep(this, event)
        val seen = world.mutation.onEvent(event) ?: return
        val before = state
        val step = kernel().step(state, seen, clock.instant())
        state = step.state
        world.onStep(this, seen, step.effects)
        val effects = world.mutation.onEffects(step.effects)
        if (event != Event.Tick || effects.any { it !is Effect.RequestLease && it !is Effect.SendToPeer }) {
            world.trace.add(name, event)
        }
        world.checker.afterStep(this, before, event, effects)
        outbox.addAll(effects)
        val stepped = process
        world.timeline.after(world.random.nextLong(MAX_EFFECT_DELAY_MICROS)) { run(stepped, ::carryOutQueued) }
        effects.forEach { world.afterEffect(this, it) }
    }

    fun accept(
        request: WorkRequest,
        sentAtMicros: Long,
    ): Exchange {
        val exchange = Exchange(this, process, ExchangeId(++lastExchange), request, sentAtMicros)
        exchanges[exchange.id] = exchange
        world.exchangeOpened(exchange)
        step(Event.RequestArrived(exchange.id, request))
        return exchange
    }

    private fun kernel() = Kernel(world.limits)

    private fun resume() {
        frozen = false
        steadySinceMicros = world.timeline.nowMicros
        world.trace.add(name, "resumes with ${outbox.size} queued effects and ${inbox.size} queued events")
        if (world.random.nextBoolean()) carryOutQueued()
        while (alive && !frozen && inbox.isNotEmpty()) inbox.removeFirst()()
        carryOutQueued()
    }

    private fun carryOutQueued() {
        while (alive && !frozen && outbox.isNotEmpty()) world.effects.carryOut(this, outbox.removeFirst())
    }

    private companion object {
        const val MAX_EFFECT_DELAY_MICROS = 400L
    }
}
