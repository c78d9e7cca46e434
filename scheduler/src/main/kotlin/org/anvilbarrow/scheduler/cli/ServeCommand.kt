package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.anvilbarrow.adapters.settings.CellSettingsReader
import org.anvilbarrow.scheduler.cell.CellProcess
import org.anvilbarrow.scheduler.cell.platformPorts
import org.anvilbarrow.scheduler.process.MonotonicClock
import sun.misc.Signal
import java.security.SecureRandom

/** `anvilbarrow serve`. */
internal class ServeCommand : CliktCommand(name = "serve") {
    private val file by option("--settings", envvar = "ANVILBARROW_CONFIG", help = "INI settings file")
        .path()
        .required()

    override fun help(context: Context): String =
        "Runs a cell process that serves durable jobs; SIGTERM shuts it down gracefully."

    override fun run() {
        val settings = readSettings(file) { name, text -> CellSettingsReader(name, text).read() }
        Thread.setDefaultUncaughtExceptionHandler(ThreadFailureHandler())
        // The default generator is seeded from the clock.
        val process = CellProcess(settings, platformPorts(settings), MonotonicClock(), SecureRandom())
        // The default action of SIGHUP is to terminate the process.
        Signal.handle(Signal("HUP")) { process.reload() }
        runUntilTerminated(start = { process.start() }, stop = process::stop)
    }
}
