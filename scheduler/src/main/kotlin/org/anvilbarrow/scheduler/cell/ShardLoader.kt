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

/** Topic that stores the jobs; the partition is the shard. */
internal const val JOB_TOPIC = "keyed.jobs"

/**
 * Producer id that every owner of a shard appends under.
 *
 * The store tracks epochs per producer, so owners fence each other only if they share one.
 */
internal const val JOB_PRODUCER = "owner"

/** Fences the earlier owner of a shard and loads the stored state; retries while [isWanted] returns true. */
internal class ShardLoader(
    private val shard: Int,
    private val token: Long,
    private val context: CellContext,
    private val isWanted: () -> Boolean,
    /** Called if a later owner has fenced this one. */
    private val onFenced: () -> Unit,
) {
    fun load(done: (LoadedShard, JournalWriter) -> Unit) {
        if (!isWanted()) return
        val condition = AppendCondition.Once(JOB_PRODUCER, token, 0)
        context.store.append(JOB_TOPIC, shard, emptyList(), condition).thenAccept { outcome ->
            context.post {
                when (outcome) {
                    // OutOfSequence: an unanswered attempt has set the epoch already; a later epoch yields Fenced.
                    is AppendOutcome.Appended, is AppendOutcome.OutOfSequence -> read(done)
                    AppendOutcome.Fenced -> onFenced()
                    else -> retry("fencing the earlier owner failed: $outcome", done)
                }
            }
        }
    }

    private fun read(done: (LoadedShard, JournalWriter) -> Unit) {
        context.store.newest(JOB_TOPIC, shard).thenAccept { outcome ->
            context.post {
                when (outcome) {
                    is NewestOutcome.Failed -> retry("reading the jobs failed: ${outcome.detail}", done)
                    is NewestOutcome.Complete ->
                        if (isWanted()) done(decode(outcome.records), JournalWriter(shard, token, context))
                }
            }
        }
    }

    private fun retry(
        reason: String,
        done: (LoadedShard, JournalWriter) -> Unit,
    ) {
        log.warn { "event=takeover-retry shard=$shard token=$token detail=\"$reason\"" }
        context.executor.run(RETRY_DELAY) { load(done) }
    }

    private fun decode(records: List<KeyedRecord>): LoadedShard {
        val values = records.mapNotNull { record -> record.value?.let { record.key to it } }.toMap()
        return StoredShard(values) { log.error { "event=record-unreadable shard=$shard key=$it" } }.decode()
    }

    private companion object {
        val RETRY_DELAY: Duration = Duration.ofMillis(200)
    }
}
