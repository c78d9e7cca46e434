package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration
import java.time.Instant

private val log = KotlinLogging.logger("anvilbarrow.shard")

/**
 * Appends the batches of one owner, one at a time, until each is stored or the owner is displaced.
 *
 * A batch keeps its sequence number when it is sent again, so it takes effect once although an answer was lost.
 */
internal class JournalWriter(
    private val shard: Int,
    private val token: Long,
    private val parts: CellParts,
) {
    private class Batch(
        val records: List<KeyedRecord>,
        val sequence: Long,
        val done: (Boolean) -> Unit,
    ) {
        var attempts = 0
        var ended = false
        var sentAt: Instant = Instant.MIN
    }

    private var lastSequence = 0L
    private var failures = 0
    private var closed = false

    /** Time from the last attempt to the answer of the last batch. */
    private var lastTook: Duration = Duration.ZERO

    /** Calls [done] with true once [records] are stored, or with false once a later owner has written. */
    fun write(
        records: List<KeyedRecord>,
        done: (Boolean) -> Unit,
    ) {
        lastSequence++
        send(Batch(records, lastSequence, done))
    }

    /** Sends nothing any more. */
    fun close() {
        closed = true
    }

    private fun isOver(batch: Batch): Boolean = closed || batch.ended

    private fun send(batch: Batch) {
        if (isOver(batch)) return
        batch.attempts++
        batch.sentAt = parts.clock.instant()
        val attempt = batch.attempts
        val condition = AppendCondition.Once(JOB_PRODUCER, token, batch.sequence)
        parts.store.append(JOB_TOPIC, shard, batch.records, condition).thenAccept { outcome ->
            parts.post { if (!isOver(batch)) ended(batch, attempt, outcome) }
        }
        // A connection whose answer was lost stays silent, while a new one may work.
        sendLater(batch, attempt, maxOf(RESEND, lastTook.multipliedBy(2)))
    }

    /** Sends [batch] again after [pause] if no attempt was made since [attempt]. */
    private fun sendLater(
        batch: Batch,
        attempt: Int,
        pause: Duration,
    ) {
        if (isOver(batch)) return
        parts.later.run(pause) { if (batch.attempts == attempt) send(batch) }
    }

    private fun ended(
        batch: Batch,
        attempt: Int,
        outcome: AppendOutcome,
    ) {
        when (outcome) {
            is AppendOutcome.Appended -> end(batch, stored = true)
            AppendOutcome.Fenced -> end(batch, stored = false)
            // The batch was stored by an attempt that had no answer, and is no longer among the last five.
            is AppendOutcome.OutOfSequence -> end(batch, stored = (outcome.expected ?: 0) > batch.sequence)
            else -> {
                failures++
                if (failures == 1) log.warn { "event=store-lost shard=$shard detail=\"$outcome\"" }
                sendLater(batch, attempt, RETRY)
            }
        }
    }

    private fun end(
        batch: Batch,
        stored: Boolean,
    ) {
        batch.ended = true
        lastTook = Duration.between(batch.sentAt, parts.clock.instant())
        if (stored && failures > 0) {
            log.info { "event=store-regained shard=$shard failures=$failures" }
            failures = 0
        }
        batch.done(stored)
    }

    private companion object {
        val RETRY: Duration = Duration.ofMillis(150)

        /** Shortest time without an answer; a store that is 50 times slower than usual answers in 350 ms. */
        val RESEND: Duration = Duration.ofMillis(450)
    }
}
