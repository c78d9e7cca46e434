package org.anvilbarrow.scheduler.process

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.http.CallerRoutes
import org.anvilbarrow.adapters.http.CallerServer
import org.anvilbarrow.adapters.peer.PeerHello
import org.anvilbarrow.adapters.peer.PeerNetwork
import org.anvilbarrow.adapters.platform.HttpLogClient
import org.anvilbarrow.adapters.platform.HttpUpstreamClient
import org.anvilbarrow.adapters.platform.HttpVmListClient
import org.anvilbarrow.adapters.platform.LogClient
import org.anvilbarrow.adapters.settings.SchedulerSettings
import org.anvilbarrow.adapters.telemetry.SchedulerMetrics
import org.anvilbarrow.adapters.telemetry.Tracing
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.KernelLimits
import org.anvilbarrow.kernel.core.SchedulerIdentity
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage
import org.http4k.routing.RoutingHttpHandler
import java.net.InetSocketAddress
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger("anvilbarrow.process")

/** What further HTTP routes of a scheduler may use. */
public class SchedulerAccess internal constructor(
    /** Client of the platform's log. */
    public val logClient: LogClient,
    /** Clock of the scheduler. */
    public val clock: InstantSource,
    private val current: () -> SchedulerState,
) {
    /** State after the last event that the kernel handled. */
    public val state: SchedulerState get() = current()
}

/**
 * One scheduler: the kernel on its control thread and the adapters around it.
 *
 * ```
 * val scheduler = SchedulerProcess(settings).apply { start() }
 * scheduler.stop() // hands everything over and waits for requests in flight
 * ```
 */
public class SchedulerProcess(
    private val settings: SchedulerSettings,
    private val clock: InstantSource = MonotonicClock(),
    private val limits: KernelLimits = KernelLimits(),
    private val moreRoutes: (SchedulerAccess) -> List<RoutingHttpHandler> = { emptyList() },
) : AutoCloseable {
    private val process = settings.process
    private val identity =
        SchedulerIdentity(settings.id, clock.instant().toEpochMilli(), settings.region, settings.failureDomain)
    private val metrics = SchedulerMetrics(settings.region, settings.peers)
    private val tracing = Tracing(settings.spans)
    private val homeSpans = HomeSpans(tracing)
    private val upstreams = HttpUpstreamClient()
    private val logClient = HttpLogClient(settings.logUrl)
    private val vmList = HttpVmListClient(settings.vmListUrl)
    private val taskThreads = trafficThreads("task", process.taskThreads)
    private val leaseThreads = trafficThreads("lease", process.leaseThreads)
    private val suspectThreads = trafficThreads("lease-suspect", SUSPECT_THREADS)
    private val appendThread = trafficThreads("log-append", 1)
    private val stopped = CountDownLatch(1)

    private val exchanges = Exchanges(clock, metrics, tracing, { loop.offer(it) }, { loop.post(it) })
    private val tasks = TaskRunner(upstreams, clock, exchanges, metrics, tracing, taskThreads) { loop.post(it) }
    private val leases = LeaseCaller(upstreams, leaseThreads, suspectThreads) { loop.post(it) }
    private val logFollower = LogFollower(logClient, { loop.state.catalog.nextOffset }) { loop.post(it) }
    private val peers =
        PeerNetwork(
            PeerHello(PeerHello.PROTOCOL_VERSION, identity.id, identity.incarnation),
            settings.peer.host,
            settings.peer.port,
            settings.peers,
            metrics,
            clock,
        ) { from, message ->
            homeSpans.received(from, message)
            // A lost message is sent again by the kernel; a blocked peer thread would delay heartbeats.
            if (!loop.offer(Event.PeerMessageReceived(from, message))) metrics.dropped(from)
        }
    private val effects =
        EffectRunner(
            exchanges,
            tasks,
            leases,
            ::sendToPeer,
            { payload -> appendThread.execute { logFollower.append(payload) } },
            stopped::countDown,
        )
    private val loop: ControlLoop = controlLoop()
    private val logPoller = Poller("log", process.logPoll) { logFollower.poll() }
    private val vmListPoller =
        Poller("vm-list", process.vmListPoll) {
            vmList.list()?.let { loop.post(Event.VmListRead(it)) }
            false
        }
    private val server =
        CallerServer(
            InetSocketAddress.createUnresolved(settings.caller.host, settings.caller.port),
            CallerRoutes(
                exchanges,
                ::notReadyBecause,
                metrics,
                settings.callerLimits,
                moreRoutes(SchedulerAccess(logClient, clock) { loop.state }),
            ).handler(),
            settings.callerLimits,
        )

    @Volatile
    private var stopping = false

    /** Starts everything and returns the port for callers. */
    public fun start(): Int {
        peers.start()
        loop.start()
        logPoller.start()
        vmListPoller.start()
        val port = server.start()
        log.info { "Scheduler ${settings.id} listens for callers on ${settings.caller.host}:$port." }
        return port
    }

    /** Hands everything over, waits for requests in flight and closes; returns false if the grace ran out before. */
    public fun stop(): Boolean {
        log.info { "Scheduler ${settings.id} stops: it takes no new requests." }
        stopping = true
        val deadline = clock.instant().plus(process.stopGrace)
        loop.post(Event.StopRequested)
        val completed = stopped.await(process.stopGrace.toMillis(), TimeUnit.MILLISECONDS)
        if (!completed) log.warn { "The hand-over did not complete within ${process.stopGrace}." }
        server.stop(maxOf(Duration.between(clock.instant(), deadline), MIN_SERVER_GRACE))
        close()
        log.info { "Scheduler ${settings.id} has stopped." }
        return completed
    }

    override fun close() {
        server.close()
        logPoller.close()
        vmListPoller.close()
        loop.close()
        peers.close()
        listOf(taskThreads, leaseThreads, suspectThreads, appendThread).forEach { it.shutdownNow() }
        upstreams.close()
        logClient.close()
        vmList.close()
        tracing.close()
    }

    private fun sendToPeer(
        to: SchedulerId,
        message: PeerMessage,
    ) {
        homeSpans.sent(to, message)
        peers.send(to, message)
    }

    private fun notReadyBecause(): String? =
        when {
            stopping -> "a planned stop has begun"
            !loop.state.catalog.current -> "the catalog is not current"
            else -> null
        }

    private fun controlLoop(): ControlLoop {
        val kernel = Kernel(limits)
        val start = kernel.start(identity, settings.peers.map { it.id }, clock.instant())
        return ControlLoop(kernel, limits, start, clock, process.queuedEvents, metrics, effects::run)
    }

    private companion object {
        /** Few threads suffice, as nobody waits for an upstream that did not answer before. */
        const val SUSPECT_THREADS = 8
        val MIN_SERVER_GRACE: Duration = Duration.ofSeconds(5)
    }
}
