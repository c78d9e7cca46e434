package org.anvilbarrow.benchmarks.path

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import org.eclipse.jetty.client.HttpClient
import org.http4k.client.JettyClient
import java.time.InstantSource

/** Measures one path and prints a row of the table. */
private class Path : CliktCommand(name = "path") {
    private val label by option(help = "first column of the row").required()
    private val url by option(help = "scheduler, or upstream with --direct").required()
    private val workload by option(help = "workload of the requests").default("map-tiles")
    private val direct by option(help = "start tasks on the upstream itself").flag()
    private val requests by option(help = "requests that are measured").int().default(DEFAULT_REQUESTS)
    private val warmUp by option(help = "requests before them").int().default(DEFAULT_WARM_UP)
    private val callers by option(help = "callers that send at the same time").int().default(1)

    override fun run() {
        val http = JettyClient(HttpClient().apply { maxConnectionsPerDestination = callers })
        val figures =
            http.use { open ->
                val clock = InstantSource.system()
                val client =
                    if (direct) DirectPath(open, url, clock) else SchedulerPath(open, url, workload, clock)
                val load = PathLoad(client, System::nanoTime, callers)
                load.run(0, warmUp)
                load.run(warmUp, requests)
            }
        echo(row(figures))
        if (figures.unanswered > 0) throw ProgramResult(1)
    }

    private fun row(figures: PathFigures): String {
        val latencies = figures.latenciesMicros
        return "%-24s %3d callers  p50 %7d us  p99 %7d us  %7.0f requests/s  %d unanswered".format(
            label,
            callers,
            latencies.getValueAtPercentile(MEDIAN),
            latencies.getValueAtPercentile(TAIL),
            figures.perSecond,
            figures.unanswered,
        )
    }

    private companion object {
        const val DEFAULT_REQUESTS = 5_000
        const val DEFAULT_WARM_UP = 2_000
        const val MEDIAN = 50.0
        const val TAIL = 99.0
    }
}

/** Entry point of the path benchmark. */
public fun main(args: Array<String>): Unit = Path().main(args)
