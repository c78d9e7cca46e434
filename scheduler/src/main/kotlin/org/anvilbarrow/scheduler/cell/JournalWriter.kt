package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration
import java.time.Instant

private val log = KotlinLogging.logger("anvilbarrow.shard")

/**
 * Appends the batches of one owner, one at a time, and retries each until it is stored or the owner has to resign.
 *
 * A batch keeps its sequence number when it is sent again, so that it is stored once even if an answer was lost. One
 * that the store refuses for good is divided, until the refused record is known and the others are stored.
 */
internal class JournalWriter(
    private val shard: Int,
    private val token: Long,
    private val context: CellContext,
) {
    private class Batch(
        val records: List<KeyedRecord>,
        val sequence: Long,
        val onRefused: (key: String) -> Unit,
        val done: (Boolean) -> Unit,
    ) {
        var attempts = 0
        var ended = false
        var sentAt: Instant = Instant.MIN
    }

    private var lastSequence = 0L
    private var failures = 0
    private var closed = false

    /** Time from the last attempt of the previous batch to its answer. */
    private var lastLatency: Duration = Duration.ZERO

    /**
     * Calls [done] with true once [records] are stored, or with false if the store rejected them.
     *
     * Records that the store refuses for good are left out; [onRefused] is called for each of them before.
     */
    fun write(
        records: List<KeyedRecord>,
        onRefused: (key: String) -> Unit,
        done: (Boolean) -> Unit,
    ) {
        lastSequence++
        send(Batch(records, lastSequence, onRefused, done))
    }

    /** Stops sending, including retries. */
    fun close() {
        closed = true
    }

    private fun isOver(batch: Batch): Boolean = closed || batch.ended

    private fun send(batch: Batch) {
        if (isOver(batch)) return
        batch.attempts++
        batch.sentAt = context.clock.instant()
        val attempt = batch.attempts
        val condition = AppendCondition.Once(JOB_PRODUCER, token, batch.sequence)
        context.store.append(JOB_TOPIC, shard, batch.records, condition).thenAccept { outcome ->
            context.post { if (!isOver(batch)) ended(batch, attempt, outcome) }
        }
        // A connection that lost the answer stays silent, while a new one may work.
        scheduleResend(batch, attempt, maxOf(MIN_RESEND_DELAY, lastLatency.multipliedBy(2)))
    }

    /** Sends [batch] again after [pause] unless another attempt followed [attempt]. */
    private fun scheduleResend(
        batch: Batch,
        attempt: Int,
        pause: Duration,
    ) {
        if (isOver(batch)) return
        context.executor.run(pause) { if (batch.attempts == attempt) send(batch) }
    }

    private fun ended(
        batch: Batch,
        attempt: Int,
        outcome: AppendOutcome,
    ) {
        when (outcome) {
            is AppendOutcome.Appended -> end(batch, stored = true)
            AppendOutcome.Fenced -> end(batch, stored = false)
            is AppendOutcome.OutOfSequence -> outOfSequence(batch, outcome.expected)
            is AppendOutcome.Refused -> refused(batch, outcome)
            else -> {
                failures++
                if (failures == 1) log.warn { "event=store-lost shard=$shard detail=\"$outcome\"" }
                scheduleResend(batch, attempt, RETRY_DELAY)
            }
        }
    }

    /**
     * Ends [batch] as stored only if another attempt of it explains the number that the store [expected].
     *
     * The store recognizes repeats of the last five batches only, and the answer to a stored attempt may be lost.
     */
    private fun outOfSequence(
        batch: Batch,
        expected: Long?,
    ) {
        val stored = batch.attempts > 1 && expected == batch.sequence + 1
        if (!stored) {
            log.error {
                "event=append-out-of-sequence shard=$shard token=$token sequence=${batch.sequence} " +
                    "expected=$expected attempts=${batch.attempts}"
            }
        }
        end(batch, stored)
    }

    private fun refused(
        batch: Batch,
        outcome: AppendOutcome.Refused,
    ) {
        batch.ended = true
        // A refused append does not use up its sequence number.
        lastSequence = batch.sequence - 1
        val records = batch.records
        if (records.size == 1) {
            val record = records.single()
            log.error {
                "event=record-refused shard=$shard key=${record.key} bytes=${record.value?.size} detail=\"$outcome\""
            }
            batch.onRefused(record.key)
            return batch.done(true)
        }
        log.warn { "event=append-refused shard=$shard records=${records.size} detail=\"$outcome\"" }
        val half = records.size / 2
        write(records.take(half), batch.onRefused) { stored ->
            if (stored) write(records.drop(half), batch.onRefused, batch.done) else batch.done(false)
        }
    }

    private fun end(
        batch: Batch,
        stored: Boolean,
    ) {
        batch.ended = true
        lastLatency = Duration.between(batch.sentAt, context.clock.instant())
        if (stored && failures > 0) {
            log.info { "event=store-regained shard=$shard failures=$failures" }
            failures = 0
        }
        batch.done(stored)
    }

    private companion object {
        val RETRY_DELAY: Duration = Duration.ofMillis(150)

        /** A store that is 50 times slower than usual answers in 350 ms. */
        val MIN_RESEND_DELAY: Duration = Duration.ofMillis(450)
    }
}
