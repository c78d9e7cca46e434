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
    val client =
        HttpUpstreamClient(
            PlatformClientLimits(
                leaseTimeout = Duration.ofSeconds(2),
                idleTimeout = SHORT,
                maxLeaseReplyBytes = MAX_REPLY_BYTES,
            ),
        )
    val address = "127.0.0.1:${upstream.start()}"
    private val lease: LeaseReply.Granted

    init {
        clock.forward = Duration.ofSeconds(3)
        lease = (ask(address) as LeaseCallResult.Answered).reply as LeaseReply.Granted
    }

    fun ask(address: String) = client.requestLease(address, LeaseRequest(SchedulerId("a"), 1, 0, 3_000))

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
        val SHORT: Duration = Duration.ofMillis(300)
        const val MAX_REPLY_BYTES = 2_000
    }
}
