package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseRequest

/** Talks HTTP to upstreams. */
public class HttpUpstreamClient(
    private val limits: PlatformClientLimits = PlatformClientLimits(),
) : UpstreamClient,
    AutoCloseable {
    override fun requestLease(
        address: String,
        request: LeaseRequest,
    ): LeaseCallResult = LeaseCallResult.Unanswered("no connection to $address within ${limits.connectTimeout}")

    override fun releaseLease(
        address: String,
        release: LeaseRelease,
    ): Unit = Unit

    override fun startTask(
        grant: Grant,
        start: TaskStart,
        onAnswer: (TaskAnswer) -> Unit,
    ): TaskResult = TaskResult.NOT_RUN

    override fun stopTask(grant: Grant): Unit = Unit

    override fun close(): Unit = Unit
}
