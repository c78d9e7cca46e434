package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList
import org.anvilbarrow.adapters.cell.AdviceService
import org.anvilbarrow.adapters.cell.CellMesh
import org.anvilbarrow.adapters.cell.CellStore
import org.anvilbarrow.adapters.cell.JobGateway
import org.anvilbarrow.adapters.cell.MeshLimits
import org.anvilbarrow.adapters.cell.MeshListener
import org.anvilbarrow.adapters.cell.PauseDetector
import org.anvilbarrow.adapters.cell.PlatformCatalog
import org.anvilbarrow.adapters.cell.TopicFollower
import org.anvilbarrow.adapters.cell.UpstreamCalls
import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.http.CallerServer
import org.anvilbarrow.adapters.settings.CellSettings
import org.anvilbarrow.adapters.settings.ListenAddress
import org.anvilbarrow.kernel.jobs.CallKey
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.CellEffect
import org.anvilbarrow.kernel.jobs.CellEvent
import org.anvilbarrow.kernel.ownership.ClaimLimits
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.ClaimRecord
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobRequest
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.Ticket
import org.http4k.core.HttpHandler
import java.net.InetSocketAddress
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicLongArray

private val log = KotlinLogging.logger("anvilbarrow.process")

/** The platform as a [CellProcess] uses it. */
public class PlatformPorts(
    public val store: CellStore,
    public val upstreams: UpstreamCalls,
    public val advice: AdviceService,
    public val catalog: PlatformCatalog,
    /** Makes the interface for callers from the gateway to the owners. */
    public val front: (JobGateway) -> HttpHandler,
    /** Makes the readiness probe from a function that returns why this process is not ready. */
    public val probe: (notReadyBecause: () -> String?) -> HttpHandler,
)

/**
 * One process of a cell: it serves callers, and owns shards while it holds their claims.
 *
 * ```
 * val process = CellProcess(settings, ports, clock).apply { start() }
 * process.stop() // hands shards over and completes the requests in flight
 * ```
 */
public class CellProcess(
    private val settings: CellSettings,
    private val ports: PlatformPorts,
    private val clock: InstantSource,
) : MeshListener {
    private val self =
        settings.run { CellMember("${peers.host}:${peers.port}", region, failureDomain, cores) }
    private val address = self.address
    private val incarnation = clock.instant().toEpochMilli()
    private val control: ControlThread = ControlThread(clock, ::afterBatch)
    private val pauses = { PauseDetector(clock, InstantSource.system()) }
    private val mesh = CellMesh(self, incarnation, MeshLimits(), this, pauses)
    private val members = ConcurrentHashMap<String, CellMember>()
    private val dispatch = OrderDispatch(address, ports.upstreams, clock, ::post, mesh::send)
    private val relay = OrderRelay(ports.upstreams, ::post, mesh::send)
    private val reachability = Reachability(settings.shards)
    private val decisions = DecisionLog(settings.logLinesPerSecond)

    /** Token of each owner that said, when it was last asked, that it owns the shard no more; 0 if none did. */
    private val disowned = AtomicLongArray(settings.shards)
    private val gateway =
        OwnerGateway(settings.shards, clock, { config }, decisions, reachability::isCutOff, ::heard, ::forward)
    private val openAdvice = HashMap<Long, (List<Ticket>?) -> Unit>()
    private val lastAdvice = AtomicLong()

    @Volatile
    private var config: CellConfig? = null
    private val owners = Array<ClaimRecord?>(settings.shards) { null }
    private val view =
        object : CellProcessView {
            override val config: CellConfig? get() = this@CellProcess.config
            override val helpers: ImmutableList<CellMember>
                get() = (mesh.connected.mapNotNull(members::get) + self).toPersistentList()

            override fun answer(
                call: CallKey,
                answer: JobAnswer,
            ) {
                if (call.origin == address) {
                    gateway.answered(call.number, answer)
                } else {
                    mesh.send(call.origin, CellMessage.Reply(call.number, answer))
                }
            }

            override fun tellPeers(message: CellMessage) = mesh.connected.forEach { mesh.send(it, message) }
        }
    private val parts =
        CellParts(
            self,
            incarnation,
            settings.shards,
            clock,
            pauses,
            control,
            ports.store,
            dispatch,
            ports.catalog,
            ::advise,
            decisions,
            settings.limits,
            ClaimLimits(),
            view,
        )
    private val seats = List(settings.shards) { shard -> ShardSeat(shard, parts) { ownerChanged(shard, it) } }
    private val configuration =
        TopicFollower(
            ports.store,
            ports.catalog.operatorTopic,
            0,
            CONFIG_WAIT,
            Duration.ZERO,
            control,
        ) { records, _ -> configured(records) }
    private val metrics = CellMetrics(seats)
    private val front = server(settings.callers, ports.front(gateway), FRONT_THREADS)
    private val operations =
        server(
            settings.probes,
            metrics.routes(ports.probe(::notReadyBecause)),
            OPERATION_THREADS,
            listOf(socketAddress(settings.operators)),
        )

    @Volatile
    private var stopping = false

    /** Starts everything. */
    public fun start() {
        log.info { "event=start vm=${settings.vm} peers=$address incarnation=$incarnation shards=${settings.shards}" }
        mesh.start()
        control.start()
        control.post { configuration.start() }
        tickLater()
        operations.start()
        front.start()
    }

    /** Hands shards over, completes the requests in flight and ends; returns true if all were completed. */
    public fun stop(): Boolean {
        log.info { "event=stop vm=${settings.vm} grace=${settings.stopGrace}" }
        stopping = true
        control.post { seats.forEach { it.release(clock.instant()) } }
        // Probes fail from now on; new connections still arrive until the balancer has missed two of them.
        TimeUnit.MILLISECONDS.sleep(minOf(DRAIN, settings.stopGrace.dividedBy(2)).toMillis())
        val complete = front.stop(settings.stopGrace.dividedBy(GRACE_PARTS))
        operations.stop(Duration.ofMillis(1))
        control.close()
        mesh.close()
        log.info { "event=stopped vm=${settings.vm} complete=$complete" }
        return complete
    }

    /** The settings file changed; settings take effect at the next start. */
    public fun reload(): Unit =
        log.info { "event=reload vm=${settings.vm} detail=\"settings apply at the next start\"" }

    private fun tickLater() {
        control.run(TICK) {
            val now = clock.instant()
            dispatch.tick()
            seats.forEachIndexed { shard, seat ->
                seat.tick(now)
                reachability.review(shard, owners[shard]?.address, reaches(shard), seat.expectsOwner(now), now)
            }
            gateway.resend { shard -> owners[shard]?.address }
            tickLater()
        }
    }

    private fun post(task: () -> Unit): Unit = control.post(task)

    private fun afterBatch(now: Instant) {
        seats.forEach { it.flush(now) }
        dispatch.flush()
        relay.flush()
    }

    private fun notReadyBecause(): String? =
        when {
            stopping -> "a planned stop has begun"
            config == null -> "no configuration yet"
            (0 until settings.shards).any { !reaches(it) } -> "the owner of a shard is not connected"
            else -> null
        }

    /** An owner that is cut off from the store together with this process knows before it that it was replaced. */
    private fun reaches(shard: Int): Boolean {
        val owner = owners[shard]?.takeIf { it.token != disowned.get(shard) } ?: return false
        return if (owner.address == address) seats[shard].isOwner else owner.address in mesh.connected
    }

    private fun heard(
        shard: Int,
        isOwner: Boolean,
    ): Unit = disowned.set(shard, if (isOwner) 0 else owners[shard]?.token ?: 0)

    private fun configured(records: List<KeyedRecord>) {
        val newest = records.mapNotNull(ports.catalog::config).maxByOrNull { it.version } ?: return
        if (newest.version <= (config?.version ?: -1)) return
        config = newest
        log.info { "event=configured version=${newest.version} queues=${newest.queues.size}" }
        seats.forEach { it.configured(newest) }
    }

    private fun ownerChanged(
        shard: Int,
        owner: ClaimRecord?,
    ) {
        owners[shard] = owner
        mesh.setPeers(owners.mapNotNull { it?.address }.toSet())
        gateway.resend { owners[it]?.address }
    }

    /** Called on traffic threads and on the control thread. */
    private fun forward(
        shard: Int,
        call: Long,
        request: JobRequest,
    ): String? {
        val owner = owners[shard]?.address ?: return null
        if (owner == address) {
            control.post { seats[shard].requested(CellEvent.Requested(CallKey(address, call), request)) }
            return owner
        }
        return owner.takeIf { mesh.send(it, CellMessage.Request(call, shard, request)) }
    }

    private fun advise(
        shard: Int,
        call: CellEffect.Advise,
        done: (List<Ticket>?) -> Unit,
    ) {
        if (call.helper == address) {
            ports.advice.advise(call.step, call.upstreams, call.timeout).thenAccept(done)
            return
        }
        val number = lastAdvice.incrementAndGet()
        openAdvice[number] = done
        val message = CellMessage.Advise(number, call.step, call.upstreams, call.timeout.toMillis())
        if (!mesh.send(call.helper, message)) {
            openAdvice -= number
            log.debug { "event=helper-unreachable shard=$shard helper=${call.helper}" }
            done(null)
        } else {
            control.run(call.timeout) { openAdvice -= number }
        }
    }

    override fun received(
        from: String,
        message: CellMessage,
    ) {
        when (message) {
            is CellMessage.Hello -> members[from] = message.member
            is CellMessage.Request ->
                control.post {
                    seats.getOrNull(message.shard)?.requested(
                        CellEvent.Requested(CallKey(from, message.call), message.request),
                    )
                }
            is CellMessage.SuccessorWanted ->
                control.post { seats.getOrNull(message.shard)?.successorWanted(message.token, clock.instant()) }
            is CellMessage.Claimed ->
                control.post { seats.getOrNull(message.shard)?.told(message.claim, clock.instant()) }
            is CellMessage.Reply -> gateway.answered(message.call, message.answer)
            is CellMessage.Advise ->
                ports.advice
                    .advise(message.step, message.upstreams, Duration.ofMillis(message.timeoutMillis))
                    .thenAccept { mesh.send(from, CellMessage.Advised(message.call, it)) }
            is CellMessage.Advised -> control.post { openAdvice.remove(message.call)?.invoke(message.tickets) }
            is CellMessage.Orders -> relay.received(from, message)
            is CellMessage.Reports -> control.post { dispatch.reported(from, message) }
        }
    }

    override fun linkChanged(
        address: String,
        up: Boolean,
    ) {
        log.info { "event=${if (up) "peer-connected" else "peer-lost"} peer=$address" }
        control.post {
            val now = clock.instant()
            if (!up) dispatch.lost(address)
            if (up) tellOwners(address)
            seats.forEach { it.helpersChanged(view.helpers) }
            owners.forEachIndexed { shard, owner ->
                if (owner?.address == address) seats[shard].linkChanged(!up, now)
            }
            if (up) gateway.resend { owners[it]?.address }
        }
    }

    private fun tellOwners(peer: String): Unit =
        owners.forEachIndexed { shard, owner -> owner?.let { mesh.send(peer, CellMessage.Claimed(shard, it)) } }

    private fun server(
        at: ListenAddress,
        handler: HttpHandler,
        threads: Int,
        more: List<InetSocketAddress> = emptyList(),
    ) = CallerServer(socketAddress(at), handler, CallerLimits(maxExchanges = threads), more)

    private fun socketAddress(at: ListenAddress) = InetSocketAddress.createUnresolved(at.host, at.port)

    private companion object {
        val TICK: Duration = Duration.ofMillis(50)

        /** How long a read waits for a change of the configuration. */
        val CONFIG_WAIT: Duration = Duration.ofSeconds(2)

        /** The balancer probes once a second and takes a process out of use after two misses. */
        val DRAIN: Duration = Duration.ofMillis(2_600)

        /** The requests in flight get a third of the grace after the drain. */
        const val GRACE_PARTS = 3L

        /** Callers that wait for an answer at one time; each uses a thread. */
        const val FRONT_THREADS = 200
        const val OPERATION_THREADS = 4
    }
}
