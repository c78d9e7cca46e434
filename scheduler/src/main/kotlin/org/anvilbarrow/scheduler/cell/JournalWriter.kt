package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration

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
    private var lastSequence = 0L
    private var failures = 0
    private var closed = false

    /** Calls [done] with true once [records] are stored, or with false once a later owner has written. */
    fun write(
        records: List<KeyedRecord>,
        done: (Boolean) -> Unit,
    ) {
        lastSequence++
        send(records, lastSequence, done)
    }

    /** Sends nothing any more. */
    fun close() {
        closed = true
    }

    private fun send(
        records: List<KeyedRecord>,
        sequence: Long,
        done: (Boolean) -> Unit,
    ) {
        if (closed) return
        val condition = AppendCondition.Once(JOB_PRODUCER, token, sequence)
        parts.store.append(JOB_TOPIC, shard, records, condition).thenAccept { outcome ->
            parts.post {
                when (outcome) {
                    is AppendOutcome.Appended -> stored(done)
                    AppendOutcome.Fenced -> done(false)
                    // The batch was stored by an order that had no answer, and is no longer among the last five.
                    is AppendOutcome.OutOfSequence ->
                        if ((outcome.expected ?: 0) > sequence) stored(done) else done(false)
                    else -> again(records, sequence, outcome, done)
                }
            }
        }
    }

    private fun stored(done: (Boolean) -> Unit) {
        if (failures > 0) log.info { "event=store-regained shard=$shard failures=$failures" }
        failures = 0
        done(true)
    }

    private fun again(
        records: List<KeyedRecord>,
        sequence: Long,
        outcome: AppendOutcome,
        done: (Boolean) -> Unit,
    ) {
        failures++
        if (failures == 1) log.warn { "event=store-lost shard=$shard detail=\"$outcome\"" }
        parts.later.run(RETRY) { send(records, sequence, done) }
    }

    private companion object {
        val RETRY: Duration = Duration.ofMillis(150)
    }
}
