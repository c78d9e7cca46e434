package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.adapters.cell.NewestOutcome
import org.anvilbarrow.kernel.jobs.LoadedShard
import org.anvilbarrow.kernel.jobs.StoredShard
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration

private val log = KotlinLogging.logger("anvilbarrow.shard")

/** Topic with the jobs; the partition is the shard. */
internal const val JOB_TOPIC = "keyed.jobs"

/**
 * Producer that every owner of a shard appends as.
 *
 * The store keeps epochs for each producer, so owners shut each other out only if they share one.
 */
internal const val JOB_PRODUCER = "owner"

/** Shuts out the earlier owner of a shard and reads what it stored; tries again while [isWanted]. */
internal class ShardLoader(
    private val shard: Int,
    private val token: Long,
    private val parts: CellParts,
    private val isWanted: () -> Boolean,
    /** Called if a later owner has written. */
    private val onFenced: () -> Unit,
) {
    fun load(done: (LoadedShard, JournalWriter) -> Unit) {
        if (!isWanted()) return
        val condition = AppendCondition.Once(JOB_PRODUCER, token, 0)
        parts.store.append(JOB_TOPIC, shard, emptyList(), condition).thenAccept { outcome ->
            parts.post {
                when (outcome) {
                    // An announcement whose answer was lost has set the epoch; a later epoch would be told as fenced.
                    is AppendOutcome.Appended, is AppendOutcome.OutOfSequence -> read(done)
                    AppendOutcome.Fenced -> onFenced()
                    else -> retry("the token cannot be announced: $outcome", done)
                }
            }
        }
    }

    private fun read(done: (LoadedShard, JournalWriter) -> Unit) {
        parts.store.newest(JOB_TOPIC, shard).thenAccept { outcome ->
            parts.post {
                when (outcome) {
                    is NewestOutcome.Failed -> retry("the jobs cannot be read: ${outcome.detail}", done)
                    is NewestOutcome.Complete ->
                        if (isWanted()) done(decode(outcome.records), JournalWriter(shard, token, parts))
                }
            }
        }
    }

    private fun retry(
        reason: String,
        done: (LoadedShard, JournalWriter) -> Unit,
    ) {
        log.warn { "event=takeover-retry shard=$shard token=$token detail=\"$reason\"" }
        parts.later.run(RETRY) { load(done) }
    }

    private fun decode(records: List<KeyedRecord>): LoadedShard {
        val values = records.mapNotNull { record -> record.value?.let { record.key to it } }.toMap()
        return StoredShard(values) { log.error { "event=record-unreadable shard=$shard key=$it" } }.decode()
    }

    private companion object {
        val RETRY: Duration = Duration.ofMillis(200)
    }
}
