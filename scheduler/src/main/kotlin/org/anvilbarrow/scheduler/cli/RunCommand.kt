package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import org.anvilbarrow.adapters.telemetry.LogOutput
import org.anvilbarrow.scheduler.process.SchedulerProcess

/** `anvilbarrow run FILE`. */
internal class RunCommand : CliktCommand(name = "run") {
    private val file by argument(help = "INI settings file").path()

    override fun help(context: Context): String = "Runs a scheduler; SIGTERM shuts it down gracefully."

    override fun run() {
        val settings = readSettings(file)
        LogOutput.use(settings.logFormat)
        val scheduler = SchedulerProcess(settings)
        runUntilTerminated(start = { scheduler.start() }, stop = scheduler::stop)
    }
}
