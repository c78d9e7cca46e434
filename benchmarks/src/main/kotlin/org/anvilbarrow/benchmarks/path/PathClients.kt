package org.anvilbarrow.benchmarks.path

import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.protocol.upstream.TaskHeaders
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import java.time.Duration
import java.time.InstantSource

private const val BODY = "{\"runMillis\": 0}\n"

/** Sends requests through a scheduler. */
internal class SchedulerPath(
    private val http: HttpHandler,
    private val url: String,
    private val workload: String,
    private val clock: InstantSource,
) : PathClient {
    private val run = clock.instant().toEpochMilli()

    override fun send(number: Int): Boolean {
        val now = clock.instant()
        val request =
            Request(Method.POST, "$url/v1/workloads/$workload/requests")
                .header("Request-Id", "path-$run-$number")
                .header("Request-Issued-At", now.toString())
                .header("Request-Deadline", now.plus(DEADLINE).toString())
                .header("Request-Attempt", "first")
                .body(BODY)
        val response = http(request)
        return response.header("Anvilbarrow-Outcome") == "answered" && response.bodyString().isNotEmpty()
    }

    private companion object {
        val DEADLINE: Duration = Duration.ofSeconds(10)
    }
}

/** Starts tasks on an upstream that no scheduler leases, under a lease of its own that it renews every second. */
internal class DirectPath(
    private val http: HttpHandler,
    private val url: String,
    private val clock: InstantSource,
) : PathClient {
    @Volatile
    private var lease = obtainLease(0)

    @Volatile
    private var renewAt = clock.instant() + RENEWAL
    private val run = lease.upstreamClockMillis

    override fun send(number: Int): Boolean {
        renewIfDue()
        val held = lease
        val request =
            Request(Method.POST, "$url/v1/tasks/path-$run-$number")
                .header(TaskHeaders.LEASE_EPOCH, held.epoch.toString())
                .header(TaskHeaders.UPSTREAM_INCARNATION, held.upstreamIncarnation.toString())
                .header(TaskHeaders.START_BY_MILLIS, (held.upstreamClockMillis + LEASE_MILLIS).toString())
                .header(TaskHeaders.WORKLOAD, "path")
                .header(TaskHeaders.REQUEST_ID, "path-$run-$number")
                .header(TaskHeaders.RESOURCES, strictJson.encodeToString(Resources.serializer(), Resources(slots = 1)))
                .body(BODY)
        val response = http(request)
        return response.status.successful && response.bodyString().isNotEmpty()
    }

    @Synchronized
    private fun renewIfDue() {
        if (clock.instant() < renewAt) return
        lease = obtainLease(lease.epoch)
        renewAt = clock.instant() + RENEWAL
    }

    private fun obtainLease(epoch: Long): LeaseReply.Granted {
        val request = LeaseRequest(SchedulerId("path-benchmark"), 1, epoch, LEASE_MILLIS)
        val body = strictJson.encodeToString(LeaseRequest.serializer(), request)
        val response =
            http(Request(Method.POST, "$url/v1/lease").header("Content-Type", "application/json").body(body))
        check(response.status.successful) { "the upstream at $url refused its lease: ${response.bodyString()}" }
        val reply = strictJson.decodeFromString(LeaseReply.serializer(), response.bodyString())
        check(reply is LeaseReply.Granted) { "the upstream at $url gives its lease to nobody now: $reply" }
        return reply
    }

    private companion object {
        const val LEASE_MILLIS = 3_000L
        val RENEWAL: Duration = Duration.ofSeconds(1)
    }
}
