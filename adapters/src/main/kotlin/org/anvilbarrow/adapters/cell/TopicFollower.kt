package org.anvilbarrow.adapters.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration

private val log = KotlinLogging.logger("anvilbarrow.store")

/** Runs a task on the control thread after a pause. */
public fun interface DelayedExecutor {
    public fun run(
        pause: Duration,
        task: () -> Unit,
    )
}

/**
 * Follows the newest record of each key of a topic; confined to the thread that [later] runs tasks on.
 *
 * [onRecords] gets all records at first and after a gap, with `complete` set, and then each change.
 */
public class TopicFollower(
    private val store: CellStore,
    private val topic: String,
    private val partition: Int,
    /** How long a read waits at the store for a record. */
    private val wait: Duration,
    /** Pause between two reads. */
    private val pause: Duration,
    private val later: DelayedExecutor,
    private val onRecords: (records: List<KeyedRecord>, complete: Boolean) -> Unit,
) {
    private var running = false
    private var next: Long? = null
    private var failures = 0
    private var generation = 0

    public fun start() {
        if (running) return
        running = true
        generation++
        step(generation)
    }

    /** Stops reading; a read that is open is ignored. */
    public fun stop() {
        running = false
        next = null
    }

    private fun step(mine: Int) {
        if (!running || mine != generation) return
        when (val from = next) {
            null -> store.newest(topic, partition).thenAccept { later.run(Duration.ZERO) { newest(mine, it) } }
            else -> store.read(topic, partition, from, wait).thenAccept { later.run(Duration.ZERO) { read(mine, it) } }
        }
    }

    private fun newest(
        mine: Int,
        outcome: NewestOutcome,
    ) {
        if (!running || mine != generation) return
        when (outcome) {
            is NewestOutcome.Complete -> {
                succeeded()
                next = outcome.endOffset
                onRecords(outcome.records, true)
            }
            is NewestOutcome.Failed -> failed(outcome.detail)
        }
        again(mine)
    }

    private fun read(
        mine: Int,
        outcome: ReadOutcome,
    ) {
        if (!running || mine != generation) return
        when (outcome) {
            is ReadOutcome.Page -> {
                succeeded()
                next = outcome.nextOffset
                if (outcome.records.isNotEmpty()) onRecords(outcome.records, false)
            }
            ReadOutcome.OffsetOutOfRange -> next = null
            is ReadOutcome.Failed -> failed(outcome.detail)
        }
        again(mine)
    }

    private fun again(mine: Int) {
        later.run(if (failures > 0) RETRY else pause) { step(mine) }
    }

    private fun succeeded() {
        if (failures > 0) log.info { "event=topic-regained topic=$topic partition=$partition failures=$failures" }
        failures = 0
    }

    private fun failed(detail: String) {
        failures++
        if (failures == 1) log.warn { "event=topic-lost topic=$topic partition=$partition detail=\"$detail\"" }
    }

    private companion object {
        val RETRY: Duration = Duration.ofMillis(250)
    }
}
