package org.anvilbarrow.kernel.queue

import java.time.Duration
import java.time.Instant

/** What an admission policy may look at. */
public data class AdmissionView(
    val now: Instant,
    val deadline: Instant,
    /** Requests queued at this home, of every workload. */
    val queued: Int,
    val maxQueued: Int,
    /** Expected wait behind the requests that would be placed first. */
    val expectedWait: Duration,
)

/** Decides whether a request may join the queue of its home. */
public fun interface AdmissionPolicy {
    /** Returns the decision for the request that [view] describes. */
    public fun admit(view: AdmissionView): Admission
}

/** Decision of an [AdmissionPolicy]. */
public sealed interface Admission {
    /** The request may wait. */
    public data object Admitted : Admission

    /** The queue is full; a place is expected after [retryAfter]. */
    public data class QueueFull(
        val retryAfter: Duration,
    ) : Admission

    /** The request cannot start before its deadline. */
    public data class DeadlineUnreachable(
        val retryAfter: Duration,
    ) : Admission
}

/** Refuses at once what a bounded queue cannot hold or what cannot start before its deadline. */
public object DeadlineAdmission : AdmissionPolicy {
    /** The home gives copies of a refused id the same answer for this long. */
    private val SHORTEST_RETRY: Duration = Duration.ofSeconds(2)

    override fun admit(view: AdmissionView): Admission {
        val retryAfter = maxOf(view.expectedWait, SHORTEST_RETRY)
        if (view.queued >= view.maxQueued) return Admission.QueueFull(retryAfter)
        if (view.now + view.expectedWait > view.deadline) return Admission.DeadlineUnreachable(retryAfter)
        return Admission.Admitted
    }
}
