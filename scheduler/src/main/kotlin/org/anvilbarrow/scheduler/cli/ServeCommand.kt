package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.anvilbarrow.adapters.cell.HttpCaller
import org.anvilbarrow.adapters.platform.PlatformClientLimits
import org.anvilbarrow.adapters.settings.CellSettings
import org.anvilbarrow.adapters.settings.CellSettingsReader
import org.anvilbarrow.platform.FrontRoutes
import org.anvilbarrow.platform.PlatformAdvice
import org.anvilbarrow.platform.PlatformRecords
import org.anvilbarrow.platform.PlatformStore
import org.anvilbarrow.platform.PlatformUpstreams
import org.anvilbarrow.platform.ReadinessRoute
import org.anvilbarrow.scheduler.cell.CellProcess
import org.anvilbarrow.scheduler.cell.PlatformPorts
import org.anvilbarrow.scheduler.process.MonotonicClock
import sun.misc.Signal
import java.time.Duration
import kotlin.system.exitProcess

/** `anvilbarrow serve`. */
internal class ServeCommand : CliktCommand(name = "serve") {
    private val file by option("--settings", envvar = "ANVILBARROW_CONFIG", help = "INI file with the settings")
        .path()
        .required()

    private val exitAfter by option(
        "--exit-after",
        help = "Milliseconds after which the process ends, for start-up checks",
    ).long()

    override fun help(context: Context): String = "Serves durable jobs on the operators' platform until SIGTERM."

    override fun run() {
        val settings = readSettings(file) { name, text -> CellSettingsReader(name, text).read() }
        Thread.setDefaultUncaughtExceptionHandler(ThreadFailure())
        val process = CellProcess(settings, ports(settings), MonotonicClock())
        // The default action of SIGHUP would end the process.
        Signal.handle(Signal("HUP")) { process.reload() }
        val limit = exitAfter
        if (limit == null) {
            untilTerminated(start = { process.start() }, stop = process::stop)
        } else {
            process.start()
            Thread.sleep(limit)
            // Ends without the shutdown of a planned stop, so that the class archive of the build is written.
            exitProcess(0)
        }
    }

    private fun ports(settings: CellSettings): PlatformPorts {
        val http = HttpCaller("platform", LIMITS)
        return PlatformPorts(
            PlatformStore(settings.store, http),
            PlatformUpstreams(http),
            PlatformAdvice(settings.advice ?: settings.store, http),
            PlatformRecords(settings.regions),
            ::FrontRoutes,
            ::ReadinessRoute,
        )
    }

    private companion object {
        val LIMITS =
            PlatformClientLimits(
                connectTimeout = Duration.ofMillis(700),
                // New connections are paid for.
                idleTimeout = Duration.ofSeconds(60),
                maxConnectionsPerAddress = 16,
            )
    }
}
