package org.anvilbarrow.kernel.core

import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseReply
import java.time.Instant

/** Something that happened outside the kernel. */
public sealed interface Event {
    /** Time has passed; expected every [KernelLimits.tick]. */
    public data object Tick : Event

    /** A caller sent a request; the adapter keeps its connection and body under [exchange]. */
    public data class RequestArrived(
        val exchange: ExchangeId,
        val request: WorkRequest,
    ) : Event

    /** The caller of [exchange] closed its connection before the outcome. */
    public data class CallerGone(
        val exchange: ExchangeId,
    ) : Event

    /** A message from a peer arrived. */
    public data class PeerMessageReceived(
        val from: SchedulerId,
        val message: PeerMessage,
    ) : Event

    /** An upstream answered a lease request that was sent at [sentAt] by this scheduler's clock. */
    public data class LeaseAnswered(
        val upstream: UpstreamId,
        val sentAt: Instant,
        val reply: LeaseReply,
    ) : Event

    /** A lease request got no answer. */
    public data class LeaseUnanswered(
        val upstream: UpstreamId,
        val sentAt: Instant,
    ) : Event

    /** The first byte of an answer goes to the caller of [exchange]; from now on its deadline does not end it. */
    public data class AnswerStarted(
        val exchange: ExchangeId,
    ) : Event

    /** One task of an [Effect.Execute] ended at this ingress. */
    public data class TaskFinished(
        val exchange: ExchangeId,
        val task: TaskId,
        val result: TaskResult,
        /** True if the first byte of the answer has already gone to the caller. */
        val answerStarted: Boolean,
    ) : Event

    /** Records were read from the log; [endOffset] is the offset that the next append will get. */
    public data class LogRead(
        val records: List<LogRecord>,
        val endOffset: Long,
        /** Lowest offset that the log still keeps. */
        val firstRetainedOffset: Long = 0,
    ) : Event

    /** The log no longer keeps the records that were asked for; those from [firstRetainedOffset] on are kept. */
    public data class LogCompacted(
        val firstRetainedOffset: Long,
    ) : Event

    /** The log did not answer. */
    public data object LogUnreachable : Event

    /** An operator asked to drain an upstream; its log record may not have been read yet. */
    public data class DrainRequested(
        val upstream: UpstreamId,
    ) : Event

    /** The VM list was read. */
    public data class VmListRead(
        val vms: List<VmEntry>,
    ) : Event

    /** A planned stop was requested. */
    public data object StopRequested : Event
}
