package org.anvilbarrow.adapters.cell

import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** When an append takes effect. */
public sealed interface AppendCondition {
    /** Only if the partition ends at [offset]. */
    public data class EndsAt(
        val offset: Long,
    ) : AppendCondition

    /** Once for each [sequence] of [producer], and only if [producer] has not written with a higher [epoch]. */
    public data class Once(
        val producer: String,
        val epoch: Long,
        val sequence: Long,
    ) : AppendCondition
}

/** Result of an append. */
public sealed interface AppendOutcome {
    /** The records are stored; [endOffset] is the offset after the last one. */
    public data class Appended(
        val endOffset: Long,
    ) : AppendOutcome

    /** The partition ends at [endOffset]; nothing was appended. */
    public data class Conflict(
        val endOffset: Long,
    ) : AppendOutcome

    /** The producer has written with a higher epoch; nothing was appended. */
    public data object Fenced : AppendOutcome

    /** The sequence number does not follow the last one; nothing was appended. */
    public data class OutOfSequence(
        val expected: Long?,
    ) : AppendOutcome

    /** The store did not take the call; nothing was appended. */
    public data class Rejected(
        val detail: String,
    ) : AppendOutcome

    /** No answer arrived; the records may be appended now or later. */
    public data class Unanswered(
        val detail: String,
    ) : AppendOutcome
}

/** Result of a read. */
public sealed interface ReadOutcome {
    /** Records from the offset that was asked for; the partition ended at [endOffset]. */
    public class Page(
        public val records: List<KeyedRecord>,
        public val nextOffset: Long,
        public val endOffset: Long,
    ) : ReadOutcome

    /** Records that were asked for are not kept any more. */
    public data object OffsetOutOfRange : ReadOutcome

    public data class Failed(
        val detail: String,
    ) : ReadOutcome
}

/** Result of a read of the newest record of each key. */
public sealed interface NewestOutcome {
    public class Complete(
        public val records: List<KeyedRecord>,
        /** End of the partition before the first page was read; records from there on may be in [records] too. */
        public val endOffset: Long,
    ) : NewestOutcome

    public data class Failed(
        val detail: String,
    ) : NewestOutcome
}

/** The platform's store, as far as the product uses it. */
public interface CellStore {
    /** Appends [records] all or none. */
    public fun append(
        topic: String,
        partition: Int,
        records: List<KeyedRecord>,
        condition: AppendCondition,
    ): CompletableFuture<AppendOutcome>

    /** Reads records from [from], waiting up to [wait] for the first one. */
    public fun read(
        topic: String,
        partition: Int,
        from: Long,
        wait: Duration,
    ): CompletableFuture<ReadOutcome>

    /** Reads the newest record of each key. */
    public fun newest(
        topic: String,
        partition: Int,
    ): CompletableFuture<NewestOutcome>
}
