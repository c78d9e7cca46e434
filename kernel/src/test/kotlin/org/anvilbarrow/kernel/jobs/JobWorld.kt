package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.kernel.proof.Timeline
import org.anvilbarrow.kernel.workspaces.WorkspaceDirectory
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.EndedTask
import org.anvilbarrow.protocol.jobs.FinishedJob
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.JobSpec
import org.anvilbarrow.protocol.jobs.Observation
import org.anvilbarrow.protocol.jobs.StartResult
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.jobs.StopResult
import org.anvilbarrow.protocol.jobs.TaskRef
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.jobs.unanswered
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.time.Instant
import java.time.temporal.ChronoUnit
import kotlin.random.Random

/**
 * Simulates one shard with its upstreams and store on a virtual clock; every order takes [latency] each way.
 *
 * It checks [JobInvariants] throughout and collects [violations].
 */
internal class JobWorld(
    workers: Int = 4,
    seed: Int = 1,
    val advice: AdviceTerms? = null,
    private val allowedShare: Double = 1.0,
    private val limits: CellLimits = CellLimits(),
    private var queues: List<QueueConfig> = listOf(queue("q", advice)),
    workspaces: WorkspaceDirectory? = null,
) {
    private val timeline = Timeline()
    val now: Instant get() = START.plus(timeline.nowMicros, ChronoUnit.MICROS)
    val maxLease: Duration = Duration.ofSeconds(10)
    val random = Random(seed)
    val latency: Duration = Duration.ofMillis(3)
    val violations = ArrayList<String>()
    val answers = HashMap<Long, JobAnswer>()
    val decisions = ArrayList<CellEffect.Decided>()
    val workers =
        List(workers) { FakeWorker(UpstreamId("w$it"), Resources(64_000, 262_144), this) }.associateBy { it.id }

    /** Contents of the store: the newest record of each key. */
    val store = LinkedHashMap<String, ByteArray>()
    var storeDown = false

    /** Returns true for keys whose records the store refuses for good. */
    var refusesRecord: (String) -> Boolean = { false }

    /** Length of the longest record that was sent to the store, with its key. */
    var largestRecordBytes = 0
        private set

    /** Number of the next calls for advice that fail. */
    var failingAdvice = 0

    /** Number of the next calls for advice that are answered with the upstreams of another step. */
    var misdirectedAdvice = 0

    /** Workspaces of the current version of the configuration. */
    var workspaces = workspaces
        private set
    private var version = 1L

    /** Workspace of each submitted job that has one. */
    val workspaceOf = HashMap<JobId, String>()

    /** Upstreams that the owner cannot reach. */
    val unreachable = HashSet<UpstreamId>()

    /** Cuts the power of [worker] for [darkTime]: calls there time out, and then it returns as a new incarnation. */
    fun losePower(
        worker: FakeWorker,
        darkTime: Duration,
    ) {
        worker.crash(darkTime)
        dark += worker.id
        after(darkTime) { dark -= worker.id }
    }

    /** Upstreams without power: a call there gets no answer, and no error before its timeout. */
    private val dark = HashSet<UpstreamId>()

    /** True if start orders take effect and their answers are lost. */
    var losesAnswersToStarts = false

    /** Share of start orders that are not answered and take effect only after [lateBy]. */
    var lateShare = 0.0
    var lateBy: Duration = Duration.ofSeconds(3)

    /**
     * Returns the time until an order reaches its upstream, or null for one that is not delayed.
     *
     * It takes effect on the incarnation that it meets then, and is reported as unanswered if its call has timed out.
     */
    var delayOf: (UpstreamOrder) -> Duration? = { null }

    /** Returns the additional time until the owner receives the answer to an order. */
    var answerDelayOf: (UpstreamOrder) -> Duration = { Duration.ZERO }

    /** Jobs of which an upstream has started a task. */
    val startedJobs = HashSet<JobId>()

    /** Returns the time from the start of a task to the crash of its upstream, or null for a task that does no harm. */
    var crashDelay: (TaskRef) -> Duration? = { null }

    /** Time from a crash of an upstream to its restart. */
    var downTime: Duration = Duration.ofSeconds(2)

    /** True if the platform's list lacks the upstreams that are down. */
    var unlistsCrashed = false

    /** Number of upstreams that crashed. */
    var crashes = 0
        private set
    val startTimes = ArrayList<Instant>()

    val specs = HashMap<JobId, JobSpec>()

    /** An order, the process through which it was sent, and the time from the start of the simulation until then. */
    class Call(
        val via: String,
        val order: UpstreamOrder,
        val sentAfter: Duration,
    )

    val calls = ArrayList<Call>()
    private var members = MEMBERS
    private var lastCall = 0L
    private var token = 0L
    private var owner: Cell? = null
    private var pendingAppend: (() -> Unit)? = null
    private val invariants = JobInvariants(this)

    val cell: Cell get() = checkNotNull(owner) { "the shard has no owner" }

    init {
        after(LIST_POLL_INTERVAL, ::pollList)
        after(TICK_INTERVAL, ::tick)
        takeOver()
    }

    fun after(
        pause: Duration,
        task: () -> Unit,
    ) {
        timeline.after(pause) {
            workers.values.forEach { it.advance() }
            task()
        }
    }

    fun run(time: Duration): Unit = timeline.run(time)

    /**
     * Crashes the owner; another process takes over at once, and reads the configuration after [configuredAfter].
     *
     * With [earlierOwnersEnded] it knows that the earlier owner grants no more leases.
     */
    fun takeOver(
        configuredAfter: Duration = Duration.ZERO,
        earlierOwnersEnded: Boolean = false,
    ) {
        token += 10
        pendingAppend = null
        val loaded = stored().copy(earlierOwnersEnded = earlierOwnersEnded)
        val next = Cell(MEMBERS.first().address, token, limits, loaded, now)
        owner = next
        if (configuredAfter.isZero) {
            deliver(CellEvent.Configured(config()))
        } else {
            after(configuredAfter) { if (next === owner) deliver(CellEvent.Configured(config())) }
        }
        deliver(CellEvent.HelpersChanged(members))
        deliver(CellEvent.Listed(listedEntries()))
        deliver(CellEvent.ListConfirmed(now))
    }

    private fun listedEntries() = workers.values.filter { it.listed && !(unlistsCrashed && it.isDown) }.map { it.entry }

    private fun config() =
        CellConfig(
            version,
            persistentMapOf<String, QueueConfig>().putAll(queues.associateBy { it.name }),
            workspaces,
        )

    /** Puts a new version of the configuration with [directory] in force. */
    fun configure(directory: WorkspaceDirectory) {
        invariants.limitsChange()
        workspaces = directory
        version++
        deliver(CellEvent.Configured(config()))
    }

    /** Puts a new version of the configuration with [changed] in force. */
    fun configure(changed: List<QueueConfig>) {
        queues = changed
        version++
        deliver(CellEvent.Configured(config()))
    }

    /** Returns the finished jobs in the store. */
    fun finished(): List<FinishedJob> = stored().finished.values.flatMap { it.jobs }

    /** Replaces the processes that call upstreams for the owner by [present]. */
    fun connect(present: PersistentList<CellMember>) {
        members = present
        deliver(CellEvent.HelpersChanged(present))
    }

    fun stored(): LoadedShard = StoredShard(store) { error("record $it is malformed") }.decode()

    fun deliver(event: CellEvent) {
        val handling = cell
        handling.confirmed(now)
        handling.handle(event, now).forEach { execute(it, handling) }
    }

    private fun reply(
        from: Cell,
        event: () -> CellEvent,
    ): Unit = after(latency) { if (from === owner) deliver(event()) }

    private fun tick() {
        deliver(CellEvent.Tick)
        after(TICK_INTERVAL, ::tick)
    }

    /** False while the owner cannot read the platform's list. */
    var listReadable = true

    private fun pollList() {
        if (listReadable) deliver(CellEvent.Listed(listedEntries()))
        if (listReadable) deliver(CellEvent.ListConfirmed(now))
        after(LIST_POLL_INTERVAL, ::pollList)
    }

    /** Sends [request] and returns its key in [answers]. */
    fun ask(request: JobRequest): Long {
        lastCall++
        if (request is JobRequest.Submit) {
            specs.putIfAbsent(request.job, request.spec)
            request.workspace?.let { workspaceOf.putIfAbsent(request.job, it) }
        }
        if (request is JobRequest.Cancel) invariants.cancelled(request.job)
        deliver(CellEvent.Requested(CallKey("test", lastCall), request))
        return lastCall
    }

    fun submit(
        id: String,
        vararg steps: StepSpec,
        queue: String = "q",
        workspace: String? = null,
    ): Long = ask(JobRequest.Submit(JobId(id), queue, JobSpec("payload of $id", steps.toList()), workspace))

    fun phase(id: String): JobPhase? {
        val call = ask(JobRequest.Status(JobId(id), queueOf(id)))
        return (answers[call] as? JobAnswer.State)?.phase
    }

    /** Returns how many jobs of [queue] are reported as pending. */
    fun pending(queue: String = "q"): Int? {
        val call = ask(JobRequest.Pending(queue))
        return (answers[call] as? JobAnswer.Count)?.pending
    }

    private fun queueOf(id: String): String =
        stored().run {
            jobs.find { it.id.value == id }?.submission?.queue
                ?: finished.values
                    .flatMap { it.jobs }
                    .find { it.job.value == id }
                    ?.queue
                ?: queues.first().name
        }

    fun specOf(task: TaskRef): StepSpec = specs.getValue(task.step.job).steps[task.step.step]

    private fun execute(
        effect: CellEffect,
        from: Cell,
    ) {
        when (effect) {
            is CellEffect.Answer -> answers[effect.call.number] = effect.answer
            is CellEffect.Decided -> decisions += effect
            is CellEffect.Resign -> violations += "resigned: ${effect.reason}"
            is CellEffect.Store -> append(effect, from)
            is CellEffect.Advise -> advise(effect, from)
            is CellEffect.Order -> {
                calls += Call(effect.via, effect.order, Duration.between(START, now))
                execute(effect.order, from)
            }
        }
    }

    private fun execute(
        order: UpstreamOrder,
        from: Cell,
    ): Unit =
        when (order) {
            is UpstreamOrder.Observe -> observe(order, from)
            is UpstreamOrder.Start -> start(order, from)
            is UpstreamOrder.Stop ->
                send(order, from) { UpstreamReport.Stopped(it?.stop(order) ?: StopResult.UNANSWERED) }
        }

    private fun append(
        effect: CellEffect.Store,
        from: Cell,
    ) {
        check(pendingAppend == null) { "the owner stores a batch while another is open" }
        largestRecordBytes =
            maxOf(largestRecordBytes, effect.records.maxOf { it.key.length + 1 + (it.value?.size ?: 0) })
        val callBytes = effect.records.sumOf { FRAME_BYTES + it.key.length + (it.value?.size ?: 0) }
        if (largestRecordBytes > MAX_RECORD_BYTES || callBytes > MAX_CALL_BYTES) {
            violations += "the store refuses a call of $callBytes bytes, longest record $largestRecordBytes bytes"
            return
        }
        val task = {
            pendingAppend = null
            val (refused, accepted) = effect.records.partition { it.value != null && refusesRecord(it.key) }
            refused.forEach { record -> reply(from) { CellEvent.RecordRefused(record.key) } }
            accepted.forEach { record ->
                val value = record.value
                if (value == null) store -= record.key else store[record.key] = value
            }
            reply(from) { CellEvent.Stored }
        }
        pendingAppend = task
        tryAppend(task, from)
    }

    private fun tryAppend(
        task: () -> Unit,
        from: Cell,
    ): Unit =
        after(APPEND_TIME) {
            if (pendingAppend === task && from === owner) {
                if (storeDown) tryAppend(task, from) else task()
            }
        }

    private fun advise(
        effect: CellEffect.Advise,
        from: Cell,
    ) {
        val terms = checkNotNull(advice) { "the owner asks for advice, but none is configured" }
        val fails = failingAdvice-- > 0
        val answeredFor = if (misdirectedAdvice-- > 0) effect.step.copy(job = JobId("other")) else effect.step
        after(terms.cost(effect.upstreams.size)) {
            if (fails) return@after reply(from) { CellEvent.Advised(effect.call, null) }
            reply(from) {
                CellEvent.Advised(
                    effect.call,
                    effect.upstreams.filter { isAllowed(answeredFor, it) }.map { Ticket(it, "t") },
                )
            }
        }
    }

    /** True if [upstream] may run [step]; always the same for the same pair. */
    fun isAllowed(
        step: StepRef,
        upstream: UpstreamId,
    ): Boolean = Random(step.hashCode() * 31 + upstream.hashCode()).nextDouble() < allowedShare

    private fun observe(
        order: UpstreamOrder.Observe,
        from: Cell,
    ): Unit =
        send(order, from, order.wait.dividedBy(4)) {
            UpstreamReport.Observed(it?.observe(order) ?: Observation.Failed("cut"))
        }

    private fun start(
        order: UpstreamOrder.Start,
        from: Cell,
    ) {
        val sentAt = now
        if (random.nextDouble() < lateShare) {
            val worker = workers.getValue(order.upstream)
            val incarnation = worker.incarnation
            // An order that an upstream has received ends with the process that received it.
            after(lateBy) { if (worker.incarnation == incarnation && !worker.isDown) worker.start(order) }
            after(TIMEOUT) { reply(from) { CellEvent.Reported(order, sentAt, order.unanswered("late")) } }
            return
        }
        send(order, from) {
            val result = it?.start(order) ?: StartResult.Unanswered("cut")
            UpstreamReport.Started(if (losesAnswersToStarts) StartResult.Unanswered("answer lost") else result)
        }
    }

    private fun send(
        order: UpstreamOrder,
        from: Cell,
        wait: Duration = Duration.ZERO,
        call: (FakeWorker?) -> UpstreamReport,
    ) {
        val sentAt = now
        delayOf(order)?.let { return sendLate(order, from, it, call) }
        val answerDelay = answerDelayOf(order)
        val timeout = timeoutOf(order)
        val timeOut = {
            val elapsed = Duration.between(sentAt, now)
            after(timeout.minus(elapsed)) { if (from === owner) deliver(CellEvent.Reported(order, sentAt, call(null))) }
        }
        if (order.upstream in unreachable) return timeOut()
        after(latency.plus(wait)) {
            if (order.upstream in dark) return@after timeOut()
            val reached = workers[order.upstream].takeIf { order.upstream !in unreachable && it?.isDown == false }
            val answered = call(reached)
            // A crash closes the connection before the answer is sent.
            val report = if (reached?.isDown == true) call(null) else answered
            val answer = { reply(from) { CellEvent.Reported(order, sentAt, report) } }
            if (answerDelay.isZero) answer() else after(answerDelay, answer)
        }
    }

    /** An observe request may take as long as it waits for an end, and as any other call beyond that. */
    private fun timeoutOf(order: UpstreamOrder): Duration =
        if (order is UpstreamOrder.Observe) TIMEOUT.plus(order.wait) else TIMEOUT

    private fun sendLate(
        order: UpstreamOrder,
        from: Cell,
        delay: Duration,
        call: (FakeWorker?) -> UpstreamReport,
    ) {
        val sentAt = now
        val timeout = timeoutOf(order)
        val answersInTime = delay < timeout
        after(delay) {
            val reached = workers.getValue(order.upstream)
            val isReached = !reached.isDown && order.upstream !in unreachable && order.upstream !in dark
            val report = call(reached.takeIf { isReached })
            if (answersInTime) reply(from) { CellEvent.Reported(order, sentAt, report) }
        }
        if (!answersInTime) after(timeout) { reply(from) { CellEvent.Reported(order, sentAt, call(null)) } }
    }

    /** Checks the start of [order] on [worker], whose runs then use [used]. */
    fun started(
        worker: FakeWorker,
        order: UpstreamOrder.Start,
        used: Resources,
    ) {
        startTimes += now
        startedJobs += order.task.step.job
        invariants.started(worker, order, used)
    }

    /** Notes that an upstream crashed under [tasks]. */
    fun crashed(tasks: List<TaskRef>) {
        crashes++
        tasks.forEach { crashesUnder.merge(it, 1, Int::plus) }
        invariants.crashed(tasks.filter { crashDelay(it) != null })
    }

    private val crashesUnder = HashMap<TaskRef, Int>()

    /** Returns how many upstreams crashed at most under one task of [job], whatever the reason. */
    fun maxCrashesUnder(job: String): Int = crashesUnder.filterKeys { it.step.job.value == job }.values.maxOrNull() ?: 0

    /** Notes that the capacity of [worker] is about to change. */
    fun resized(worker: FakeWorker): Unit = invariants.resized(worker)

    fun acknowledged(
        worker: FakeWorker,
        ends: List<EndedTask>,
    ): Unit = invariants.acknowledged(worker, ends)

    companion object {
        private val START = Instant.ofEpochSecond(1_000_000)
        private val TICK_INTERVAL = Duration.ofMillis(50)
        private val LIST_POLL_INTERVAL = Duration.ofMillis(400)
        private val APPEND_TIME = Duration.ofMillis(10)
        private val TIMEOUT = Duration.ofMillis(900)

        /** Limits of the store, and the bytes that it adds to a key and its value in a call. */
        const val MAX_RECORD_BYTES = 262_144
        const val MAX_CALL_BYTES = 2_097_152
        const val FRAME_BYTES = 5
        val MEMBERS =
            persistentListOf(
                CellMember("vm-1", "region", "domain", 1.0),
                CellMember("vm-2", "region", "domain", 1.0),
                CellMember("vm-3", "region", "domain", 1.0),
            )
    }
}
