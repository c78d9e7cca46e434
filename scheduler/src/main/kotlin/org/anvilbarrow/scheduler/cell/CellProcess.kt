package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toPersistentList
import org.anvilbarrow.adapters.cell.AdviceService
import org.anvilbarrow.adapters.cell.CellMesh
import org.anvilbarrow.adapters.cell.CellStore
import org.anvilbarrow.adapters.cell.ConfigFollower
import org.anvilbarrow.adapters.cell.JobGateway
import org.anvilbarrow.adapters.cell.MeshLimits
import org.anvilbarrow.adapters.cell.MeshListener
import org.anvilbarrow.adapters.cell.PauseDetector
import org.anvilbarrow.adapters.cell.PlatformCatalog
import org.anvilbarrow.adapters.cell.SuspendAwareClock
import org.anvilbarrow.adapters.cell.UpstreamCalls
import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.http.CallerServer
import org.anvilbarrow.adapters.settings.CellSettings
import org.anvilbarrow.adapters.settings.ListenAddress
import org.anvilbarrow.kernel.jobs.CallKey
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.CellEvent
import org.anvilbarrow.kernel.ownership.ClaimLimits
import org.anvilbarrow.kernel.workspaces.CallerAccess
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.ClaimRecord
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.JobRequest
import org.http4k.core.HttpHandler
import java.net.InetSocketAddress
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLongArray
import java.util.random.RandomGenerator

private val log = KotlinLogging.logger("anvilbarrow.process")

/** Adapters to the platform that a [CellProcess] uses. */
public class PlatformPorts(
    public val store: CellStore,
    public val upstreams: UpstreamCalls,
    public val advice: AdviceService,
    public val catalog: PlatformCatalog,
    /** Creates the HTTP API for callers on top of the gateway. */
    public val callerApi: (JobGateway) -> HttpHandler,
    /** Creates the readiness probe from a function that returns why this process is not ready, or null if it is. */
    public val probe: (notReadyReason: () -> String?) -> HttpHandler,
)

/**
 * One process of a cell: serves callers, and owns each shard while it holds the claim to it.
 *
 * ```
 * val process = CellProcess(settings, ports, clock, SecureRandom()).apply { start() }
 * process.stop() // hands over shards and completes in-flight requests
 * ```
 */
public class CellProcess(
    private val settings: CellSettings,
    private val ports: PlatformPorts,
    private val clock: InstantSource,
    random: RandomGenerator,
) : MeshListener {
    private val self =
        settings.run { CellMember("${peers.host}:${peers.port}", region, failureDomain, cores) }
    private val address = self.address
    private val incarnation = clock.instant().toEpochMilli()
    private val control: ControlThread = ControlThread(clock, ::afterBatch)
    private val pauseDetector = { PauseDetector(clock, InstantSource.system()) }
    private val mesh = CellMesh(self, incarnation, MeshLimits(), this, pauseDetector)
    private val members = ConcurrentHashMap<String, CellMember>()
    private val numbers = CorrelationNumbers(random)
    private val dispatch = OrderDispatch(address, ports.upstreams, clock, numbers, ::post, mesh::send)
    private val adviceDispatch = AdviceDispatch(address, ports.advice, numbers, control, mesh::send)
    private val relay = OrderRelay(ports.upstreams, ::post, mesh::send)
    private val reachability = Reachability(settings.shards)
    private val decisions = DecisionLog(settings.logLinesPerSecond)

    /** For each shard, the token of the owner whose last answer was that it is not the owner, or 0. */
    private val disclaimedTokens = AtomicLongArray(settings.shards)
    private val gateway: OwnerGateway =
        OwnerGateway(
            settings.shards,
            clock,
            numbers,
            { configuration.current },
            CallerAccess(settings.accessBounds),
            decisions,
            reachability::isCutOff,
            ::ownershipReported,
            ::forward,
        )

    private val owners = Array<ClaimRecord?>(settings.shards) { null }
    private val processView =
        object : CellProcessView {
            override val config: CellConfig? get() = configuration.current?.config
            override val helpers: ImmutableList<CellMember>
                get() = (mesh.connected.mapNotNull(members::get) + self).toPersistentList()

            override fun answer(
                call: CallKey,
                answer: JobAnswer,
            ) {
                if (call.origin == address) {
                    gateway.answered(call.number, answer, address)
                } else {
                    mesh.send(call.origin, CellMessage.Reply(call.number, answer))
                }
            }

            override fun broadcast(message: CellMessage) = mesh.connected.forEach { mesh.send(it, message) }
        }
    private val context =
        CellContext(
            self,
            incarnation,
            settings.shards,
            clock,
            pauseDetector,
            control,
            ports.store,
            dispatch,
            ports.catalog,
            adviceDispatch,
            decisions,
            settings.limits,
            ClaimLimits(),
            processView,
        )
    private val controllers =
        List(settings.shards) { shard -> ShardController(shard, context) { ownerChanged(shard, it) } }
    private val configuration: ConfigFollower =
        ConfigFollower(
            ports.store,
            ports.catalog,
            SuspendAwareClock(clock, InstantSource.system()),
            control,
            ::configured,
        )
    private val metrics = CellMetrics(controllers)
    private val callerApi = server(settings.callers, ports.callerApi(gateway), CALLER_THREADS)
    private val operations =
        server(
            settings.probes,
            metrics.routes(ports.probe(::notReadyReason)),
            OPERATION_THREADS,
            listOf(socketAddress(settings.operators)),
        )

    @Volatile
    private var stopping = false

    public fun start() {
        log.info { "event=start vm=${settings.vm} peers=$address incarnation=$incarnation shards=${settings.shards}" }
        mesh.start()
        control.start()
        control.post { configuration.start() }
        scheduleTick()
        operations.start()
        callerApi.start()
    }

    /** Hands over the shards, completes in-flight requests and stops; returns true if all requests were completed. */
    public fun stop(): Boolean {
        log.info { "event=stop vm=${settings.vm} grace=${settings.stopGrace}" }
        stopping = true
        control.post { controllers.forEach { it.release(clock.instant()) } }
        // Readiness probes fail from now on; the load balancer sends new connections until two probes have failed.
        TimeUnit.MILLISECONDS.sleep(minOf(DRAIN_TIME, settings.stopGrace.dividedBy(2)).toMillis())
        val complete = callerApi.stop(settings.stopGrace.dividedBy(GRACE_DIVISOR))
        operations.stop(Duration.ofMillis(1))
        control.close()
        mesh.close()
        log.info { "event=stopped vm=${settings.vm} complete=$complete" }
        return complete
    }

    /** Logs a change of the settings file; settings take effect at the next start. */
    public fun reload(): Unit =
        log.info { "event=reload vm=${settings.vm} detail=\"settings apply at the next start\"" }

    private fun scheduleTick() {
        control.run(if (controllers.any { it.isOwner }) TICK_INTERVAL else IDLE_TICK_INTERVAL) {
            val now = clock.instant()
            dispatch.tick()
            controllers.forEachIndexed { shard, controller ->
                controller.tick(now)
                reachability.update(shard, owners[shard]?.address, reaches(shard), controller.expectsOwner(now), now)
            }
            gateway.resend { shard -> owners[shard]?.address }
            scheduleTick()
        }
    }

    private fun post(task: () -> Unit): Unit = control.post(task)

    private fun afterBatch(now: Instant) {
        controllers.forEach { it.flush(now) }
        dispatch.flush()
        relay.flush()
    }

    private fun notReadyReason(): String? =
        when {
            stopping -> "a planned stop has begun"
            configuration.current == null -> "no configuration yet"
            (0 until settings.shards).any { !reaches(it) } -> "the owner of a shard is not connected"
            else -> null
        }

    /**
     * Whether the owner of [shard] is connected and has not denied that it is the owner.
     *
     * An owner that is cut off from the store together with this process knows earlier that it was replaced.
     */
    private fun reaches(shard: Int): Boolean {
        val owner = owners[shard]?.takeIf { it.token != disclaimedTokens.get(shard) } ?: return false
        return if (owner.address == address) controllers[shard].isOwner else owner.address in mesh.connected
    }

    private fun ownershipReported(
        shard: Int,
        isOwner: Boolean,
    ): Unit = disclaimedTokens.set(shard, if (isOwner) 0 else owners[shard]?.token ?: 0)

    private fun configured(config: CellConfig) {
        val workspaces = config.workspaces?.workspaces?.size
        log.info { "event=configured version=${config.version} queues=${config.queues.size} workspaces=$workspaces" }
        controllers.forEach { it.configured(config) }
    }

    private fun ownerChanged(
        shard: Int,
        owner: ClaimRecord?,
    ) {
        owners[shard] = owner
        mesh.setPeers(owners.mapNotNull { it?.address }.toSet())
        gateway.resend { owners[it]?.address }
    }

    /** Called on request threads and on the control thread. */
    private fun forward(
        shard: Int,
        call: Long,
        request: JobRequest,
    ): String? {
        val owner = owners[shard]?.address ?: return null
        if (owner == address) {
            control.post { controllers[shard].requested(CellEvent.Requested(CallKey(address, call), request)) }
            return owner
        }
        return owner.takeIf { mesh.send(it, CellMessage.Request(call, shard, request)) }
    }

    override fun received(
        from: String,
        message: CellMessage,
    ) {
        when (message) {
            is CellMessage.Hello -> members[from] = message.member
            is CellMessage.Request ->
                control.post {
                    controllers.getOrNull(message.shard)?.requested(
                        CellEvent.Requested(CallKey(from, message.call), message.request),
                    )
                }
            is CellMessage.SuccessorWanted ->
                control.post { controllers.getOrNull(message.shard)?.successorWanted(message.token, clock.instant()) }
            is CellMessage.Claimed ->
                control.post { controllers.getOrNull(message.shard)?.claimAnnounced(message.claim, clock.instant()) }
            is CellMessage.Reply -> gateway.answered(message.call, message.answer, from)
            is CellMessage.Advise ->
                ports.advice
                    .advise(message.step, message.upstreams, Duration.ofMillis(message.timeoutMillis))
                    .thenAccept { mesh.send(from, CellMessage.Advised(message.call, it)) }
            is CellMessage.Advised -> control.post { adviceDispatch.advised(from, message) }
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
            controllers.forEach { it.helpersChanged(processView.helpers) }
            owners.forEachIndexed { shard, owner ->
                if (owner?.address == address) controllers[shard].linkChanged(!up, now)
            }
            if (up) gateway.resend { owners[it]?.address }
        }
    }

    private fun tellOwners(peer: String): Unit =
        owners.forEachIndexed { shard, owner -> owner?.let { mesh.send(peer, CellMessage.Claimed(shard, it)) } }

    private fun server(
        listen: ListenAddress,
        handler: HttpHandler,
        threads: Int,
        additional: List<InetSocketAddress> = emptyList(),
    ) = CallerServer(socketAddress(listen), handler, CallerLimits(maxExchanges = threads), additional)

    private fun socketAddress(listen: ListenAddress) = InetSocketAddress.createUnresolved(listen.host, listen.port)

    private companion object {
        val TICK_INTERVAL: Duration = Duration.ofMillis(50)

        /** Without a shard, ticks drive only the timeouts of claims and calls, which are longer. */
        val IDLE_TICK_INTERVAL: Duration = Duration.ofMillis(100)

        /** The load balancer probes once per second and removes a process after two failed probes. */
        val DRAIN_TIME: Duration = Duration.ofMillis(2_600)

        /** In-flight requests get a third of the stop grace after the drain. */
        const val GRACE_DIVISOR = 3L

        /** Limit of concurrent caller requests; each blocks a thread. */
        const val CALLER_THREADS = 200
        const val OPERATION_THREADS = 4
    }
}
