package org.anvilbarrow.benchmarks

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import org.anvilbarrow.benchmarks.baseline.Baseline
import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.report.BenchmarkReport
import org.anvilbarrow.benchmarks.report.RunReport
import org.anvilbarrow.benchmarks.report.runBaseline
import org.anvilbarrow.benchmarks.report.runIdle
import org.anvilbarrow.benchmarks.report.runKernels
import org.anvilbarrow.benchmarks.report.tableOf
import org.anvilbarrow.benchmarks.simulation.Fault
import org.anvilbarrow.benchmarks.simulation.Scenario
import org.anvilbarrow.benchmarks.workload.WorkloadMix
import org.anvilbarrow.benchmarks.workload.prairieMix
import org.anvilbarrow.benchmarks.workload.sundayBatchMix
import org.anvilbarrow.benchmarks.workload.tuulivarjoMix
import org.anvilbarrow.kernel.core.KernelLimits
import java.time.Duration
import kotlin.io.path.writeText

private val mixes = listOf(tuulivarjoMix, prairieMix, sundayBatchMix).associateBy { it.name }
private val reportJson = Json { prettyPrint = true }

/** Runs the simulation; without options it runs every mix and fault at every load, and every baseline. */
private class Simulate : CliktCommand(name = "simulate") {
    private val mix by option(help = "workload mix; all if absent").choice(mixes).multiple()
    private val load by option(help = "offered load; 0.5, 0.8, 0.95, 1.5 and 5 if absent").double().multiple()
    private val fault by option(help = "what fails; every fault if absent").enum<Fault>().multiple()
    private val baseline by option(help = "baseline; every one if absent").enum<Baseline>().multiple()
    private val seconds by option(help = "time in which requests arrive").long().default(DEFAULT_SECONDS)
    private val seed by option(help = "seed of the arrivals").int().default(1)
    private val idle by option(help = "sizes of idle cells, in upstreams").int().multiple()
    private val upstreams by option(help = "size of a cell of two years from now, instead of the user's cell").int()
    private val gangPatienceMillis by option(help = "time that a gang waits before slots are held for it").long()
    private val json by option(help = "file for the report").path()

    override fun run() {
        val report = BenchmarkReport(runs(), idle.map { runIdle(idleShape(it), tuulivarjoMix) })
        echo(tableOf(report))
        json?.writeText(reportJson.encodeToString(BenchmarkReport.serializer(), report))
    }

    private fun runs(): List<RunReport> =
        mix.ifEmpty { mixes.values.toList() }.flatMap { mix ->
            load.ifEmpty { LOADS }.flatMap { load -> runsOf(mix, load) }
        }

    private fun runsOf(
        mix: WorkloadMix,
        load: Double,
    ): List<RunReport> {
        val scenario = Scenario(shapeOf(mix), mix, load, seed = seed, arrivalSeconds = seconds, limits = limits())
        return fault.ifEmpty { Fault.entries }.map { runKernels(scenario.copy(fault = it)) } +
            baseline.ifEmpty { Baseline.entries }.map { runBaseline(it, scenario) }
    }

    private fun limits(): KernelLimits {
        val limits = KernelLimits()
        return gangPatienceMillis?.let { limits.copy(gangPatience = Duration.ofMillis(it)) } ?: limits
    }

    private fun shapeOf(mix: WorkloadMix): CellShape =
        upstreams?.let { CellShape.inTwoYears(it) }
            ?: if (mix === tuulivarjoMix) CellShape.TUULIVARJO else CellShape.PRAIRIE

    private fun idleShape(upstreams: Int): CellShape =
        if (upstreams == CellShape.TUULIVARJO.upstreams) CellShape.TUULIVARJO else CellShape.inTwoYears(upstreams)

    private companion object {
        const val DEFAULT_SECONDS = 60L
        val LOADS = listOf(0.5, 0.8, 0.95, 1.5, 5.0)
    }
}

/** Entry point of the load driver. */
public fun main(args: Array<String>): Unit = Simulate().main(args)
