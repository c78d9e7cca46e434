package org.anvilbarrow.benchmarks.simulation

import org.anvilbarrow.benchmarks.measure.Endpoint
import org.anvilbarrow.benchmarks.measure.HttpFraming
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest

/** The way from schedulers to upstreams: leases, and tasks with their bodies. */
internal class UpstreamPort(
    private val upstreams: Map<UpstreamId, FakeUpstream>,
    private val network: Network,
    private val timeline: Timeline,
) {
    private val endpoints = upstreams.mapValues { (id, it) -> Endpoint(id.value, it.described.place) }

    fun requestLease(
        node: SchedulerNode,
        effect: Effect.RequestLease,
    ) {
        val upstream = upstreams.getValue(effect.upstream)
        val endpoint = endpoints.getValue(effect.upstream)
        val body = strictJson.encodeToString(LeaseRequest.serializer(), effect.request).length
        val bytes = HttpFraming.requestBytes("/v1/lease", effect.address, body)
        network.send("LeaseRequest", node.endpoint, endpoint, bytes) {
            if (upstream.alive) {
                reply(node, effect, endpoint, upstream.lease(effect.request))
            } else {
                timeline.after(LEASE_TIMEOUT_MICROS) {
                    node.handle(Event.LeaseUnanswered(effect.upstream, effect.sentAt))
                }
            }
        }
    }

    private fun reply(
        node: SchedulerNode,
        effect: Effect.RequestLease,
        from: Endpoint,
        reply: LeaseReply,
    ) {
        val body = strictJson.encodeToString(LeaseReply.serializer(), reply).length
        network.send("LeaseReply", from, node.endpoint, HttpFraming.replyBytes(body)) {
            node.handle(Event.LeaseAnswered(effect.upstream, effect.sentAt, reply))
        }
    }

    fun releaseLease(
        node: SchedulerNode,
        effect: Effect.ReleaseLease,
    ) {
        val body = strictJson.encodeToString(LeaseRelease.serializer(), effect.release).length
        val bytes = HttpFraming.requestBytes("/v1/lease/release", effect.address, body)
        network.send("LeaseRelease", node.endpoint, endpoints.getValue(effect.upstream), bytes) {
            upstreams.getValue(effect.upstream).release(effect.release)
        }
    }

    /** Sends one task to its upstream; bodies are not control messages and are not counted. */
    fun execute(
        node: SchedulerNode,
        grant: Grant,
        runMicros: Long,
        started: () -> Unit,
        finished: (TaskResult) -> Unit,
    ) {
        val upstream = upstreams.getValue(grant.upstream)
        val delay = network.delayMicros(node.endpoint.place, upstream.described.place)
        timeline.after(delay) {
            when {
                !upstream.alive -> timeline.after(CONNECT_TIMEOUT_MICROS) { finished(TaskResult.NOT_RUN) }

                !upstream.start(grant) -> timeline.after(delay) { finished(TaskResult.NOT_RUN) }

                else -> {
                    started()
                    timeline.after(runMicros) { complete(upstream, grant.task, delay, finished) }
                }
            }
        }
    }

    private fun complete(
        upstream: FakeUpstream,
        task: TaskId,
        delay: Long,
        finished: (TaskResult) -> Unit,
    ) {
        val result = if (upstream.end(task)) TaskResult.ANSWERED else TaskResult.LOST
        timeline.after(delay) { finished(result) }
    }

    /** Stops a task without waiting for it. */
    fun stop(
        node: SchedulerNode,
        grant: Grant,
    ) {
        val upstream = upstreams.getValue(grant.upstream)
        timeline.after(network.delayMicros(node.endpoint.place, upstream.described.place)) { upstream.end(grant.task) }
    }

    private companion object {
        const val LEASE_TIMEOUT_MICROS = 800 * MICROS_PER_MILLI
        const val CONNECT_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI
    }
}
