package org.anvilbarrow.kernel.proof

import java.util.SplittableRandom

/** How badly a [Network] treats messages when no link is cut. */
internal enum class NetworkQuality(
    val maxDelayMicros: Long,
    val lossPermille: Int,
    val duplicatePermille: Int,
    val spikePermille: Int,
) {
    CLEAN(2_000, 0, 0, 0),
    REORDERING(40_000, 0, 30, 5),
    LOSSY(15_000, 30, 30, 10),
}

/** Directed links between named nodes that delay, lose, duplicate and reorder messages and can be cut. */
internal class Network(
    private val timeline: Timeline,
    private val random: SplittableRandom,
    private var quality: NetworkQuality,
) {
    private val cuts = HashMap<Pair<String, String>, Int>()
    private val disturbedAt = HashMap<Pair<String, String>, Long>()

    /** Ends loss, copies and long delays, which are faults too. */
    fun healQuality() {
        quality = NetworkQuality.CLEAN
    }

    fun isCut(
        from: String,
        to: String,
    ): Boolean = cuts.getOrDefault(from to to, 0) > 0

    /** Cuts one direction; cuts that overlap are counted. */
    fun cut(
        from: String,
        to: String,
    ) {
        cuts.merge(from to to, 1, Int::plus)
    }

    /** Ends one [cut]. */
    fun heal(
        from: String,
        to: String,
    ) {
        cuts.merge(from to to, -1, Int::plus)
        disturb(from, to)
    }

    /** Sends something that may be lost, copied or overtaken. */
    fun send(
        from: String,
        to: String,
        copies: Boolean = false,
        onLost: () -> Unit = {},
        deliver: () -> Unit,
    ) {
        if (isCut(from, to) || chance(quality.lossPermille)) {
            disturb(from, to)
            onLost()
            return
        }
        timeline.after(delay(from, to), deliver)
        if (copies && chance(quality.duplicatePermille)) timeline.after(delay(from, to), deliver)
    }

    /** Returns true if no message from [from] to [to] was lost or held up since [sinceMicros]. */
    fun undisturbedSince(
        from: String,
        to: String,
        sinceMicros: Long,
    ): Boolean = !isCut(from, to) && disturbedAt.getOrDefault(from to to, -1) < sinceMicros

    private fun delay(
        from: String,
        to: String,
    ): Long {
        if (!chance(quality.spikePermille)) return MIN_DELAY_MICROS + random.nextLong(quality.maxDelayMicros)
        disturb(from, to)
        return random.nextLong(MAX_SPIKE_MICROS)
    }

    private fun disturb(
        from: String,
        to: String,
    ) {
        disturbedAt[from to to] = timeline.nowMicros
    }

    private fun chance(permille: Int) = random.nextInt(PERMILLE) < permille

    private companion object {
        const val MIN_DELAY_MICROS = 200L

        /** Longer than a grant's validity, so that late instructions are tried. */
        const val MAX_SPIKE_MICROS = 2_500_000L
        const val PERMILLE = 1_000
    }
}
