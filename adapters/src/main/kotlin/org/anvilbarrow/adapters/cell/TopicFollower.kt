package org.anvilbarrow.adapters.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration

private val log = KotlinLogging.logger("anvilbarrow.store")

/** Runs tasks on the control thread after a delay. */
public fun interface DelayedExecutor {
    public fun run(
        pause: Duration,
        task: () -> Unit,
    )
}

/**
 * Follows the newest record of each key of a compacted topic; confined to the thread of [executor].
 *
 * [onRecords] first receives all records with `complete` set, and then each change. After a gap in the log it receives
 * all records again.
 */
public class TopicFollower(
    private val store: CellStore,
    private val topic: String,
    private val partition: Int,
    /** Long-poll wait of a read. */
    private val wait: Duration,
    /** Delay between two reads. */
    private val pollInterval: Duration,
    private val executor: DelayedExecutor,
    /** Called before each read is sent. */
    private val onReadBegins: () -> Unit = {},
    /** Called when all records that existed at the start of the last read have been delivered. */
    private val onCurrent: () -> Unit = {},
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
        poll(generation)
    }

    /** Stops reading; the result of a pending read is ignored. */
    public fun stop() {
        running = false
        next = null
    }

    private fun poll(expected: Int) {
        if (!running || expected != generation) return
        onReadBegins()
        when (val from = next) {
            null -> store.newest(topic, partition).thenAccept { executor.run(Duration.ZERO) { newest(expected, it) } }
            else ->
                store.read(topic, partition, from, wait).thenAccept {
                    executor.run(Duration.ZERO) { read(expected, it) }
                }
        }
    }

    private fun newest(
        expected: Int,
        outcome: NewestOutcome,
    ) {
        if (!running || expected != generation) return
        when (outcome) {
            is NewestOutcome.Complete -> {
                succeeded()
                next = outcome.endOffset
                if (deliver(outcome.records, complete = true)) onCurrent()
            }
            is NewestOutcome.Failed -> failed(outcome.detail)
        }
        scheduleNext(expected)
    }

    private fun read(
        expected: Int,
        outcome: ReadOutcome,
    ) {
        if (!running || expected != generation) return
        when (outcome) {
            // A read from an offset beyond the end would not show the records that exist.
            is ReadOutcome.Page if outcome.endOffset < outcome.nextOffset -> next = null
            is ReadOutcome.Page -> {
                succeeded()
                next = outcome.nextOffset
                val delivered = outcome.records.isEmpty() || deliver(outcome.records, complete = false)
                if (delivered && outcome.nextOffset >= outcome.endOffset) onCurrent()
            }
            ReadOutcome.OffsetOutOfRange -> next = null
            is ReadOutcome.Failed -> failed(outcome.detail)
        }
        scheduleNext(expected)
    }

    /** Returns false if the records could not be handled; all are then read again, and the topic is still followed. */
    @Suppress("TooGenericExceptionCaught")
    private fun deliver(
        records: List<KeyedRecord>,
        complete: Boolean,
    ): Boolean =
        try {
            onRecords(records, complete)
            true
        } catch (e: RuntimeException) {
            log.error(e) { "event=records-failed topic=$topic partition=$partition records=${records.size}" }
            next = null
            failed("handling the records failed: $e")
            false
        }

    private fun scheduleNext(expected: Int) {
        executor.run(if (failures > 0) RETRY_DELAY else pollInterval) { poll(expected) }
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
        val RETRY_DELAY: Duration = Duration.ofMillis(250)
    }
}
