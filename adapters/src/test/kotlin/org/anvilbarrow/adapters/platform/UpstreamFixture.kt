package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.standins.upstream.UpstreamStandIn
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** The system's clock, put forward so that an upstream's quiet time is over at once. */
private class ForwardClock : InstantSource {
    @Volatile
    var forward: Duration = Duration.ZERO

    override fun instant(): Instant = InstantSource.system().instant() + forward
}

/** A client and an upstream whose lease it holds. */
internal class UpstreamFixture : AutoCloseable {
    private val clock = ForwardClock()
    val upstream = UpstreamStandIn(clock = clock)
    val client = HttpUpstreamClient(limits)
    val address = "127.0.0.1:${upstream.start()}"
    private val lease: LeaseReply.Granted

    init {
        clock.forward = Duration.ofSeconds(3)
        val result = ask(address)
        check(result is LeaseCallResult.Answered && result.reply is LeaseReply.Granted) { "no lease: $result" }
        lease = result.reply
    }

    fun ask(
        address: String,
        client: UpstreamClient = this.client,
    ) = client.requestLease(address, LeaseRequest(SchedulerId("a"), 1, 0, 3_000))

    fun grant(
        address: String = this.address,
        epoch: Long = lease.epoch,
    ) = Grant(
        task = TaskId("a 1"),
        upstream = UpstreamId("u"),
        address = address,
        owner = SchedulerId("a"),
        leaseEpoch = epoch,
        upstreamIncarnation = lease.upstreamIncarnation,
        startByUpstreamMillis = clock.instant().toEpochMilli() + 1_000,
        resources = Resources(cpuMillicores = 500, slots = 1),
    )

    override fun close() {
        client.close()
        upstream.close()
    }

    companion object {
        const val MAX_REPLY_BYTES = 2_000

        /** Calls get long timeouts, as a busy machine may delay every one of them. */
        val limits =
            PlatformClientLimits(
                connectTimeout = Duration.ofSeconds(5),
                leaseTimeout = Duration.ofSeconds(5),
                idleTimeout = Duration.ofMillis(300),
                maxLeaseReplyBytes = MAX_REPLY_BYTES,
            )
    }
}
