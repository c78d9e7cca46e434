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
    private val jobs by option("--jobs", help = "Number of jobs to run").int().default(DEFAULT_JOBS)
    private val timeout by option("--timeout", help = "Seconds to wait for all jobs to complete")
        .long()
        .default(DEFAULT_TIMEOUT_SECONDS)

    override fun help(context: Context): String =
        "Runs jobs on two cell processes and a stand-in platform in this JVM, and prints how many completed."

    override fun run() {
        val completed = Rehearsal(::platformPorts).run(jobs, Duration.ofSeconds(timeout))
        echo("$completed of $jobs job(s) completed")
        // Exits without a graceful stop of the processes, so that the build's class-data sharing archive is written.
        exitProcess(if (completed == jobs) 0 else 1)
    }

    private companion object {
        const val DEFAULT_JOBS = 40
        const val DEFAULT_TIMEOUT_SECONDS = 30L
    }
}
