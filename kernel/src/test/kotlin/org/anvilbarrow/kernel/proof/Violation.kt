package org.anvilbarrow.kernel.proof

/** What a [Checker] watches; P1 to P8 are those of section 2.1 of the design page. */
internal enum class Point {
    P1_OVERFILLED,
    P2_TWO_PLACES,
    P3_OUTCOME,
    P4_REFUSED_RAN,
    P5_RAN_TWICE,
    P6_LEAVING,
    P7_CUT_OFF,
    P8_CATALOG,

    /** A gang job starts all its tasks or none (section 6). */
    GANG_PARTIAL,

    /** Two schedulers are home to one shard (section 4). */
    TWO_HOMES,

    /** Two schedulers believe that they hold the lease of one upstream (section 3). */
    TWO_OWNERS,

    /** An exchange without an outcome in time, or requests that are not placed after all faults have healed. */
    STUCK,
}

/** A broken invariant. */
internal data class Violation(
    val point: Point,
    val atMicros: Long,
    val detail: String,
) {
    override fun toString(): String = "$point at ${atMicros / MICROS_PER_MILLI} ms: $detail"
}

/** The latest things that happened in a run; text is made only when a run failed. */
internal class Trace(
    private val timeline: Timeline,
) {
    private val lines = ArrayDeque<Triple<Long, String, Any>>()

    fun add(
        who: String,
        what: Any,
    ) {
        if (lines.size == MAX_LINES) lines.removeFirst()
        lines.addLast(Triple(timeline.nowMicros, who, what))
    }

    /** Returns the lines that mention one of [words]. */
    fun render(words: List<String>): String {
        val wanted = Regex(words.joinToString("|", "\\b(", ")\\b"))
        return lines
            .map { (at, who, what) -> "%9.3f ms %-4s %s".format(at / MICROS_PER_MILLI.toDouble(), who, what) }
            .filter { wanted.containsMatchIn(it) }
            .joinToString("\n")
    }

    private companion object {
        const val MAX_LINES = 20_000
    }
}
