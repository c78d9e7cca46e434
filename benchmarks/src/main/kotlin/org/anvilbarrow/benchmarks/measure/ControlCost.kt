package org.anvilbarrow.benchmarks.measure

import org.anvilbarrow.benchmarks.cell.Place

/** Counts the control messages of a run and their bytes, in total, per node and across regions. */
internal class ControlCost {
    private val byKind = sortedMapOf<String, Tally>()
    private val byNode = HashMap<String, Long>()

    val messages: Long get() = byKind.values.sumOf { it.messages }
    val bytes: Long get() = byKind.values.sumOf { it.bytes }
    val crossRegionBytes: Long get() = byKind.values.sumOf { it.crossRegionBytes }
    val kinds: Map<String, Tally> get() = byKind

    /** Bytes that each node sent and received. */
    val nodeBytes: Map<String, Long> get() = byNode

    fun count(
        kind: String,
        from: Endpoint,
        to: Endpoint,
        payloadBytes: Int,
    ) {
        val wireBytes = (payloadBytes + PACKET_OVERHEAD_BYTES).toLong()
        val crosses = from.place.region != to.place.region
        byKind.getOrPut(kind, ::Tally).add(wireBytes, crosses)
        byNode.merge(from.name, wireBytes, Long::plus)
        byNode.merge(to.name, wireBytes, Long::plus)
    }

    /** Returns what was counted here but not yet when [earlier] was taken. */
    fun since(earlier: Snapshot): Snapshot =
        Snapshot(
            byKind.mapValues { (kind, tally) -> tally - (earlier.kinds[kind] ?: Tally()) },
            byNode.mapValues { (node, bytes) -> bytes - (earlier.nodeBytes[node] ?: 0) },
        )

    fun snapshot(): Snapshot = Snapshot(byKind.mapValues { it.value.copy() }, byNode.toMap())

    /** What was counted up to a moment, or between two moments. */
    data class Snapshot(
        val kinds: Map<String, Tally>,
        val nodeBytes: Map<String, Long>,
    ) {
        val messages: Long get() = kinds.values.sumOf { it.messages }
        val bytes: Long get() = kinds.values.sumOf { it.bytes }
        val crossRegionBytes: Long get() = kinds.values.sumOf { it.crossRegionBytes }
    }

    /** Messages of one kind. */
    data class Tally(
        var messages: Long = 0,
        var bytes: Long = 0,
        var crossRegionBytes: Long = 0,
    ) {
        fun add(
            wireBytes: Long,
            crosses: Boolean,
        ) {
            messages++
            bytes += wireBytes
            if (crosses) crossRegionBytes += wireBytes
        }

        operator fun minus(other: Tally): Tally =
            Tally(messages - other.messages, bytes - other.bytes, crossRegionBytes - other.crossRegionBytes)
    }

    companion object {
        /** IPv4 and TCP headers with timestamps (52 bytes) of the segment and of its acknowledgement. */
        const val PACKET_OVERHEAD_BYTES: Int = 104
    }
}

/** A node that control messages are counted for. */
internal data class Endpoint(
    val name: String,
    val place: Place,
)
