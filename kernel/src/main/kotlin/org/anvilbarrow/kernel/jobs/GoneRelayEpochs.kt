package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Keeps the relay epochs of upstreams that are gone, so that one that returns gets no token below those it has seen.
 *
 * At most [maxKept] epochs are kept, because replaced machines get new ids. An upstream without a kept epoch
 * starts at the highest one that was dropped.
 */
internal class GoneRelayEpochs(
    private val maxKept: Int = 1_024,
) {
    private val epochs = LinkedHashMap<UpstreamId, Long>()
    private var highestDropped = 0L

    fun keep(
        upstream: UpstreamId,
        epoch: Long,
    ) {
        epochs[upstream] = epoch
        if (epochs.size > maxKept) dropOldest()
    }

    /** Returns the epoch that [upstream], which is listed again or for the first time, continues from. */
    fun take(upstream: UpstreamId): Long = epochs.remove(upstream) ?: highestDropped

    private fun dropOldest() {
        val oldest = epochs.entries.first()
        epochs -= oldest.key
        highestDropped = maxOf(highestDropped, oldest.value)
    }
}
