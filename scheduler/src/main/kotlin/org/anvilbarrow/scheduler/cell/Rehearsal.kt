package org.anvilbarrow.scheduler.cell

import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.adapters.cell.AsyncHttpClient
import org.anvilbarrow.adapters.settings.CellSettings
import org.anvilbarrow.adapters.settings.ListenAddress
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.workspaces.AccessBounds
import org.anvilbarrow.platform.standin.CallerStandIn
import org.anvilbarrow.platform.standin.PlatformStandIn
import org.anvilbarrow.scheduler.process.MonotonicClock
import java.net.InetAddress
import java.net.ServerSocket
import java.security.SecureRandom
import java.time.Duration

/**
 * Runs jobs end to end on two cell processes and a stand-in platform, all in this JVM.
 *
 * Serves as a smoke test, and loads the classes that a cell process uses for the class-data sharing archive.
 */
internal class Rehearsal(
    private val ports: (CellSettings) -> PlatformPorts,
) : AutoCloseable {
    private val clock = MonotonicClock()
    private val random = SecureRandom()
    private val platform = PlatformStandIn(clock)
    private val http = AsyncHttpClient("rehearsal")
    private val processes = ArrayList<CellProcess>()

    /** Runs [jobs] jobs and returns how many of them completed within [timeout]. */
    fun run(
        jobs: Int,
        timeout: Duration,
    ): Int {
        val address = platform.start()
        val settings = (1..PROCESSES).map { settings("vm-$it", address) }
        settings.mapTo(processes) { CellProcess(it, ports(it), clock, random).apply { start() } }
        val deadline = clock.instant().plus(timeout)
        val ids = (1..jobs).map { "%016x".format(it) }
        val callers = settings.map { CallerStandIn(http, it.callers.port) }
        val accepted = HashSet<String>()
        val completed = HashSet<String>()
        while (completed.size < jobs && clock.instant().isBefore(deadline)) {
            ids.forEachIndexed { index, id ->
                val caller = callers[index % callers.size]
                if (id !in accepted && caller.submit(id)) accepted += id
                if (id in accepted && caller.isCompleted(id)) completed += id
            }
            Thread.sleep(POLL_MILLIS)
        }
        callers.forEach { it.countPending() }
        callers.last().cancel(ids.last())
        return completed.size
    }

    private fun settings(
        vm: String,
        platform: String,
    ) = CellSettings(
        vm = vm,
        region = "region",
        failureDomain = "domain",
        cores = 1.0,
        regions = persistentMapOf("domain" to "region"),
        callers = freeAddress(),
        probes = freeAddress(),
        operators = freeAddress(),
        peers = freeAddress(),
        store = platform,
        advice = platform,
        shards = 1,
        stopGrace = Duration.ofMillis(1),
        limits = CellLimits(),
        accessBounds = AccessBounds.of(KEY_WITHDRAWAL, CONFIG_APPLY),
        logLinesPerSecond = LOG_LINES_PER_SECOND,
    )

    /** Returns a loopback address whose port is free at the time of the call. */
    private fun freeAddress(): ListenAddress =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { ListenAddress("127.0.0.1", it.localPort) }

    override fun close() {
        processes.forEach { it.stop() }
        http.close()
        platform.close()
    }

    private companion object {
        const val PROCESSES = 2
        const val POLL_MILLIS = 20L
        const val LOG_LINES_PER_SECOND = 100
        val KEY_WITHDRAWAL: Duration = Duration.ofSeconds(5)
        val CONFIG_APPLY: Duration = Duration.ofSeconds(4)
    }
}
