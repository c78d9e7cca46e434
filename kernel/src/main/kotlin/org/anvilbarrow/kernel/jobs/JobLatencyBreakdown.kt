package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import java.time.Duration

/** Causes of delay along the critical path of a finished job. */
public enum class DelayCause(
    /** Name in the decision log. */
    internal val key: String,
) {
    /** The job was due before this owner knew it: a takeover, or a submission that an earlier owner received. */
    EARLIER_OWNER("earlier_ms"),

    /** The submission was not stored yet. */
    STORE("store_ms"),

    /** The advice service had not answered for the first time. */
    ADVICE("advice_ms"),

    /** No permitted upstream had enough free resources. */
    CAPACITY("room_ms"),

    /** Time above the caller's estimate: a slow upstream, tasks started later than the first, or runs that failed. */
    BEYOND_ESTIMATE("beyond_ms"),
}

/**
 * Breakdown of the latency of one finished job; [delays] and [work] add up to [took].
 *
 * ```
 * val breakdown = JobLatencyBreakdown.parse("queue=q phase=COMPLETED core_ms=800 took_ms=950 ...")
 * ```
 */
public data class JobLatencyBreakdown(
    val queue: String,
    val phase: JobPhase,
    /** Processor time of all tasks, from the caller's estimates. */
    val coreTime: Duration,
    val took: Duration,
    /** Latency objective of the queue for this job, from the caller's estimates. */
    val objective: Duration,
    val delays: Map<DelayCause, Duration>,
    val work: Duration,
    /** Runs that ended without completing their task. */
    val repeats: Int,
) {
    val isInTime: Boolean get() = took <= objective

    /** The cause of the longest delay. */
    val mainCause: DelayCause get() = delays.maxBy { it.value }.key

    /** Returns the breakdown as `key=value` fields for the decision log. */
    public fun format(): String =
        "queue=$queue phase=$phase $CORE=${coreTime.toMillis()} $TOOK=${took.toMillis()} " +
            "$OBJECTIVE=${objective.toMillis()} " +
            DelayCause.entries.joinToString(" ") { "${it.key}=${delays.getValue(it).toMillis()}" } +
            " $WORK=${work.toMillis()} repeats=$repeats"

    public companion object {
        private const val CORE = "core_ms"
        private const val TOOK = "took_ms"
        private const val OBJECTIVE = "objective_ms"
        private const val WORK = "work_ms"
        private val TIMES = DelayCause.entries.map { it.key } + listOf(CORE, TOOK, OBJECTIVE, WORK)

        /** Parses the result of [format]; returns null for other texts. */
        public fun parse(text: String): JobLatencyBreakdown? {
            val fields =
                text.split(' ').associate {
                    it.substringBefore('=') to
                        it.substringAfter('=', missingDelimiterValue = "")
                }
            val times =
                TIMES
                    .mapNotNull { key ->
                        fields[key]?.toLongOrNull()?.let { key to Duration.ofMillis(it) }
                    }.toMap()
            val queue = fields["queue"]
            val phase = JobPhase.entries.find { it.name == fields["phase"] }
            val repeats = fields["repeats"]?.toIntOrNull()
            if (times.size < TIMES.size) return null
            if (queue == null || phase == null || repeats == null) return null
            return JobLatencyBreakdown(
                queue = queue,
                phase = phase,
                coreTime = times.getValue(CORE),
                took = times.getValue(TOOK),
                objective = times.getValue(OBJECTIVE),
                delays = DelayCause.entries.associateWith { times.getValue(it.key) },
                work = times.getValue(WORK),
                repeats = repeats,
            )
        }
    }
}
