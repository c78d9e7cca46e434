package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.model.UpstreamId
import kotlin.math.ceil

/**
 * Chooses the upstreams that the first call for advice about a step names.
 *
 * Each name costs time at the advice service, which delays urgent steps, and a second call costs more. It answers loads
 * in which hundreds of upstreams could run a step: the call names those that have most room for it, and about as many
 * as the step needs at the share of upstreams that the service has allowed for its queue.
 */
internal class AdviceNaming {
    private val allowedShares = HashMap<String, Double>()

    /** The service allowed [good] of the [named] upstreams for [step]. */
    fun answered(
        step: StepRun,
        named: Int,
        good: Int,
    ) {
        if (named == 0) return
        val share = good.toDouble() / named
        allowedShares.merge(step.job.queue, share) { old, new -> old + (new - old) * WEIGHT_OF_NEWEST }
    }

    /** Returns those of [listed] that a call about [step] names; the ones with most room in [rooms] come first. */
    fun choose(
        step: StepRun,
        rooms: List<Room>,
        listed: List<UpstreamId>,
    ): List<UpstreamId> {
        val asked = step.advice.asked
        val size = step.spec.countedResources()
        val label = step.spec.requiredLabel
        // Steps that are asked about together name different upstreams among those with the same room.
        val spread = step.ref.hashCode()
        val withRoom =
            rooms
                .asSequence()
                .filter { it.id !in asked && (label == null || label in it.labels) }
                .map { Triple(it.id, it.fits(size, MOST_TASKS), (it.id.hashCode() * HASH_FACTOR) xor spread) }
                .filter { it.second > 0 }
                .sortedWith(compareBy({ -it.second }, { it.third }))
                .mapTo(LinkedHashSet()) { it.first }
        val others = listed.filter { it !in asked && it !in withRoom }
        return (withRoom + others).take(namesFor(step))
    }

    private fun namesFor(step: StepRun): Int {
        val share = maxOf(allowedShares[step.job.queue] ?: UNKNOWN_SHARE, LEAST_SHARE)
        return ceil(step.spec.tasks / share * SPARE_FACTOR).toInt().coerceIn(FEWEST_NAMES, MOST_NAMES)
    }

    internal companion object {
        /** Most upstreams that one call may name. */
        const val MOST_NAMES = 100

        /** Names in the call that a job's latency objective contains. */
        private const val FEWEST_NAMES = 30
        private const val SPARE_FACTOR = 4
        private const val UNKNOWN_SHARE = 0.25
        private const val LEAST_SHARE = 0.02
        private const val WEIGHT_OF_NEWEST = 0.1
        private const val MOST_TASKS = 8
        private const val HASH_FACTOR = -1_640_531_527
    }
}
