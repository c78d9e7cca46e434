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

/** `anvilbarrow serve`. */
internal class ServeCommand : CliktCommand(name = "serve") {
    private val file by option("--settings", envvar = "ANVILBARROW_CONFIG", help = "INI file with the settings")
        .path()
        .required()

    override fun help(context: Context): String = "Serves durable jobs on the operators' platform until SIGTERM."

    override fun run() {
        val settings = readSettings(file) { name, text -> CellSettingsReader(name, text).read() }
        Thread.setDefaultUncaughtExceptionHandler(ThreadFailure())
        val process = CellProcess(settings, platformPorts(settings), MonotonicClock())
        // The default action of SIGHUP would end the process.
        Signal.handle(Signal("HUP")) { process.reload() }
        untilTerminated(start = { process.start() }, stop = process::stop)
    }
}
