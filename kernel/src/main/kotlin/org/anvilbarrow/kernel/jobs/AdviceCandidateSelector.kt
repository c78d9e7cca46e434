package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.model.UpstreamId
import kotlin.math.ceil

/**
 * Selects the upstreams that the first advice request of a step names.
 *
 * Each named upstream adds to the duration of the call, which delays urgent steps, and a second call costs more. Where
 * hundreds of upstreams could run a step, the request names those with most free capacity for it. Their number follows
 * from the number of tasks and from the share of upstreams that the service has allowed for the queue so far.
 */
internal class AdviceCandidateSelector {
    private class Choice(
        val id: UpstreamId,
        val speedLevel: Int,
        val fitCount: Int,
        val tieBreaker: Int,
    )

    private val allowedShares = HashMap<String, Double>()

    /** Updates the average share for the queue of [step]: the service allowed [good] of the [named] upstreams. */
    fun recordAnswer(
        step: StepRun,
        named: Int,
        good: Int,
    ) {
        if (named == 0) return
        val share = good.toDouble() / named
        allowedShares.merge(step.job.queue, share) { old, new -> old + (new - old) * SMOOTHING_FACTOR }
    }

    /**
     * Returns the upstreams to request advice on: those of [targets] with free capacity, then the rest of [listed].
     *
     * A step that [yields] gets the emptiest upstreams, any other the fastest ones.
     */
    fun choose(
        step: StepRun,
        targets: List<PlacementTarget>,
        listed: List<UpstreamId>,
        yields: Boolean,
    ): List<UpstreamId> = unasked(step, targets, listed, yields).take(countFor(step))

    /** Returns the upstreams not asked about before in the order in which a request should name them. */
    fun unasked(
        step: StepRun,
        targets: List<PlacementTarget>,
        listed: List<UpstreamId>,
        yields: Boolean,
    ): List<UpstreamId> {
        val withRoom = withRoom(step, targets, yields)
        return withRoom.toList() + listed.filter { it !in step.advice.asked && it !in withRoom }
    }

    /** Returns the [targets] not asked about before that have room for [step], best ones first. */
    private fun withRoom(
        step: StepRun,
        targets: List<PlacementTarget>,
        yields: Boolean,
    ): Set<UpstreamId> {
        val size = step.spec.countedResources()
        val label = step.spec.requiredLabel
        // A gang gains nothing from upstreams that are faster than the slowest one it gets.
        val highestLevel = if (step.spec.gang) 0 else Int.MAX_VALUE
        // Steps that request advice at the same time name different upstreams of equal free capacity.
        val tieBreaker = step.ref.hashCode()
        return targets
            .asSequence()
            .filter { it.id !in step.advice.asked && (label == null || label in it.labels) }
            .map { target ->
                Choice(
                    target.id,
                    if (yields) 0 else minOf(target.speedLevel, highestLevel),
                    target.fitCount(size, MAX_FIT_COUNT),
                    (target.id.hashCode() * HASH_MULTIPLIER) xor tieBreaker,
                )
            }.filter { it.fitCount > 0 }
            .sortedWith(compareBy({ -it.speedLevel }, { -it.fitCount }, { it.tieBreaker }))
            .mapTo(LinkedHashSet()) { it.id }
    }

    private fun countFor(step: StepRun): Int {
        val share = maxOf(allowedShares[step.job.queue] ?: DEFAULT_ALLOWED_SHARE, MIN_ALLOWED_SHARE)
        return ceil(step.spec.tasks / share * SPARE_FACTOR).toInt().coerceIn(MIN_UPSTREAMS, MAX_UPSTREAMS)
    }

    internal companion object {
        /** Maximum number of upstreams in one request. */
        const val MAX_UPSTREAMS = 100

        /** Number of upstreams in the advice request that is part of a latency objective. */
        private const val MIN_UPSTREAMS = 30
        private const val SPARE_FACTOR = 4
        private const val DEFAULT_ALLOWED_SHARE = 0.25
        private const val MIN_ALLOWED_SHARE = 0.02
        private const val SMOOTHING_FACTOR = 0.1
        private const val MAX_FIT_COUNT = 8
        private const val HASH_MULTIPLIER = -1_640_531_527
    }
}
