package org.anvilbarrow.kernel.core

import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseRequest
import java.time.Instant

/** Something that the kernel wants done; adapters carry it out and report back with an [Event]. */
public sealed interface Effect {
    /** Send [message] to a peer; it may be lost. */
    public data class SendToPeer(
        val to: SchedulerId,
        val message: PeerMessage,
    ) : Effect

    /** Ask an upstream for its lease; answered by [Event.LeaseAnswered] or [Event.LeaseUnanswered]. */
    public data class RequestLease(
        val upstream: UpstreamId,
        val address: String,
        val sentAt: Instant,
        val request: LeaseRequest,
    ) : Effect

    /** Give a lease back; not answered. */
    public data class ReleaseLease(
        val upstream: UpstreamId,
        val address: String,
        val release: LeaseRelease,
    ) : Effect

    /**
     * Start all [grants] of [exchange]; each ends in one [Event.TaskFinished].
     *
     * The answer of the first grant's task is the answer of the request and is streamed to the caller. It counts
     * even if another task of a gang fails later.
     */
    public data class Execute(
        val exchange: ExchangeId,
        val workload: String,
        val requestId: String,
        val grants: List<Grant>,
        val deadline: Instant,
        val idempotent: Boolean,
        val traceparent: String?,
    ) : Effect

    /** Stop the tasks of [exchange] that still run, without waiting for them. */
    public data class Abandon(
        val exchange: ExchangeId,
    ) : Effect

    /** Give the caller of [exchange] its final outcome. */
    public data class Answer(
        val exchange: ExchangeId,
        val outcome: Outcome,
    ) : Effect

    /** Append a payload to the log. */
    public data class AppendToLog(
        val payload: String,
    ) : Effect

    /** Everything that this scheduler owned was handed over; the process may end. */
    public data object StopCompleted : Effect
}
