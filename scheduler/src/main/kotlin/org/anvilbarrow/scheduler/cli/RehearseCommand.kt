package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.anvilbarrow.scheduler.cell.Rehearsal
import org.anvilbarrow.scheduler.cell.platformPorts
import java.time.Duration
import kotlin.system.exitProcess

/** `anvilbarrow rehearse`. */
internal class RehearseCommand : CliktCommand(name = "rehearse") {
    private val jobs by option("--jobs", help = "Jobs to run").int().default(DEFAULT_JOBS)
    private val timeout by option("--timeout", help = "Seconds after which the jobs must be completed")
        .long()
        .default(DEFAULT_TIMEOUT_SECONDS)

    override fun help(context: Context): String =
        "Runs jobs on two processes and a stand-in of the platform in this process, and prints how many were completed."

    override fun run() {
        val completed = Rehearsal(::platformPorts).run(jobs, Duration.ofSeconds(timeout))
        echo("$completed of $jobs job(s) completed")
        // Ends without the shutdown of a planned stop, so that the class archive of the build is written.
        exitProcess(if (completed == jobs) 0 else 1)
    }

    private companion object {
        const val DEFAULT_JOBS = 40
        const val DEFAULT_TIMEOUT_SECONDS = 30L
    }
}
