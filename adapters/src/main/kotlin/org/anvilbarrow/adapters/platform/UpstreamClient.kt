package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import java.io.InputStream
import java.time.Duration

/** Talks to upstreams; calls block the calling traffic thread. */
public interface UpstreamClient {
    /** Asks the upstream at [address] for its lease or renews it. */
    public fun requestLease(
        address: String,
        request: LeaseRequest,
    ): LeaseCallResult

    /** Gives a lease back; failures are ignored, as the lease lapses anyway. */
    public fun releaseLease(
        address: String,
        release: LeaseRelease,
    )

    /**
     * Starts the task of [grant] and passes its answer to [onAnswer] as it arrives.
     *
     * Never sends the instruction twice. The result is [TaskResult.NOT_RUN] only if the upstream said so or if no byte
     * of the instruction can have left this process.
     */
    public fun startTask(
        grant: Grant,
        start: TaskStart,
        onAnswer: (TaskAnswer) -> Unit,
    ): TaskResult

    /** Stops a task that was started under [grant]; failures are ignored. */
    public fun stopTask(grant: Grant)
}

/** What a task is started with. */
public class TaskStart(
    public val workload: String,
    public val requestId: String,
    public val traceparent: String?,
    public val timeout: Duration,
    public val body: InputStream,
    /** Length of [body] in bytes, or null if it is not known. */
    public val bodyBytes: Long?,
)

/** Head of a task's answer and its body, which is read as it arrives. */
public class TaskAnswer(
    public val status: Int,
    public val contentType: String?,
    public val body: InputStream,
)

/** Result of a lease call. */
public sealed interface LeaseCallResult {
    /** The upstream answered. */
    public data class Answered(
        val reply: LeaseReply,
    ) : LeaseCallResult

    /** No usable answer arrived; [detail] says why. */
    public data class Unanswered(
        val detail: String,
    ) : LeaseCallResult
}
