package org.anvilbarrow.adapters.cell

import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Condition under which an append takes effect. */
public sealed interface AppendCondition {
    /** Append only if the partition ends at [offset]. */
    public data class EndsAt(
        val offset: Long,
    ) : AppendCondition

    /** Append idempotently per [sequence], and only if [producer] has not written with a higher [epoch]. */
    public data class Once(
        val producer: String,
        val epoch: Long,
        val sequence: Long,
    ) : AppendCondition
}

/** Result of an append. */
public sealed interface AppendOutcome {
    /** The records are stored; [endOffset] is the offset after the last of them. */
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

    /** The store did not accept the request; nothing was appended. */
    public data class Rejected(
        val detail: String,
    ) : AppendOutcome

    /** The store will never accept these records, for example because of their size; nothing was appended. */
    public data class Refused(
        val detail: String,
    ) : AppendOutcome

    /** No response arrived; the records may have been appended or may still be. */
    public data class Unanswered(
        val detail: String,
    ) : AppendOutcome
}

/** Result of a read. */
public sealed interface ReadOutcome {
    /** Records from the requested offset; the partition ended at [endOffset]. */
    public class Page(
        public val records: List<KeyedRecord>,
        public val nextOffset: Long,
        public val endOffset: Long,
    ) : ReadOutcome

    /** The requested records are no longer retained. */
    public data object OffsetOutOfRange : ReadOutcome

    public data class Failed(
        val detail: String,
    ) : ReadOutcome
}

/** Result of reading the newest record of each key. */
public sealed interface NewestOutcome {
    public class Complete(
        public val records: List<KeyedRecord>,
        /** End of the partition before the first page was read; [records] may include records after it. */
        public val endOffset: Long,
    ) : NewestOutcome

    public data class Failed(
        val detail: String,
    ) : NewestOutcome
}

/** Client of the platform's log store. */
public interface CellStore {
    /** Appends [records] atomically. */
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
