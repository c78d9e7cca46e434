package org.anvilbarrow.benchmarks.workload

import org.anvilbarrow.benchmarks.cell.Cell
import org.anvilbarrow.benchmarks.simulation.MICROS_PER_MILLI
import org.anvilbarrow.benchmarks.simulation.MICROS_PER_SECOND
import org.anvilbarrow.protocol.model.Resources
import org.apache.commons.math3.distribution.ExponentialDistribution
import org.apache.commons.math3.distribution.LogNormalDistribution
import org.apache.commons.math3.random.RandomGenerator
import org.apache.commons.math3.random.Well19937c
import kotlin.math.ln

/** One request as the world sees it; schedulers do not know [runMicros]. */
internal data class Arrival(
    val number: Int,
    val atMicros: Long,
    val share: WorkloadShare,
    /** Region whose upstreams run the request. */
    val region: String,
    /** Region of the scheduler that the caller reaches. */
    val callerRegion: String,
    val runMicros: Long,
) {
    val workload: String = share.nameIn(region)
}

/** When and how much work arrives. */
internal data class ArrivalPlan(
    val mix: WorkloadMix,
    /** Offered load: 1.0 keeps the scarcest resource fully used. */
    val load: Double,
    val firstMicros: Long,
    val lengthMicros: Long,
    val seed: Int,
)

/** Returns Poisson arrivals with log-normal run times, the same for the same [plan] and [cell]. */
internal fun arrivals(
    plan: ArrivalPlan,
    cell: Cell,
): List<Arrival> {
    val random = Well19937c(plan.seed)
    val total = cell.upstreams.fold(Resources.NONE) { sum, upstream -> sum + upstream.spec.capacity }
    val perSecond = plan.load * plan.mix.requestsPerSecondAtCapacity(total)
    val gap = ExponentialDistribution(random, MICROS_PER_SECOND / perSecond)
    val runTimes = plan.mix.shares.associateWith { runTime(random, it) }
    val arrivals = ArrayList<Arrival>()
    var at = plan.firstMicros + gap.sample()
    while (at < plan.firstMicros + plan.lengthMicros) {
        val share = pick(plan.mix, random)
        val region = cell.shape.regions[random.nextInt(cell.shape.regions.size)]
        val callerRegion = if (random.nextDouble() < FAR_CALLERS) farRegion(cell, region, random) else region
        val run = runTimes.getValue(share).sample().toLong() + 1
        arrivals += Arrival(arrivals.size, at.toLong(), share, region, callerRegion, run)
        at += gap.sample()
    }
    return arrivals
}

/** Share of requests whose caller reaches a scheduler of another region; an assumption. */
private const val FAR_CALLERS = 0.02

/** Run times spread over about two orders of magnitude. */
private const val RUN_TIME_SIGMA = 0.8

private fun runTime(
    random: RandomGenerator,
    share: WorkloadShare,
): LogNormalDistribution {
    val scale = ln(share.meanRunMillis * MICROS_PER_MILLI) - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2
    return LogNormalDistribution(random, scale, RUN_TIME_SIGMA)
}

private fun pick(
    mix: WorkloadMix,
    random: RandomGenerator,
): WorkloadShare {
    var rest = random.nextDouble() * mix.shares.sumOf { it.weight }
    return mix.shares.firstOrNull {
        rest -= it.weight
        rest < 0
    } ?: mix.shares.last()
}

private fun farRegion(
    cell: Cell,
    region: String,
    random: RandomGenerator,
): String {
    val others = cell.shape.regions - region
    return others[random.nextInt(others.size)]
}
