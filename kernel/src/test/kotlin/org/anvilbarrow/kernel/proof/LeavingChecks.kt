package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.upstream.LeaseReply

/** P6: no task starts on a leaving upstream more than 3 s after a sign that its owner could have learned of. */
internal class LeavingChecks(
    private val world: World,
    private val report: Report,
) {
    private class Sign(
        val host: SchedulerHost,
        val process: Long,
        val atMicros: Long,
    )

    private val signs = HashMap<UpstreamId, ArrayList<Sign>>()

    /** Notes the signs that [event] brings to [host]. */
    fun signs(
        host: SchedulerHost,
        event: Event,
    ) {
        when (event) {
            is Event.LeaseAnswered ->
                if ((event.reply as? LeaseReply.Granted)?.leaving == true) sign(host, event.upstream)
            is Event.VmListRead ->
                event.vms.filter { it.state == VmState.LEAVING }.forEach { sign(host, UpstreamId(it.name)) }
            is Event.PeerMessageReceived ->
                (event.message as? PeerMessage.DrainNotice)?.let { sign(host, it.upstream) }
            is Event.DrainRequested -> sign(host, event.upstream)
            is Event.LogRead -> event.records.forEach { drained(it.payload)?.let { id -> sign(host, id) } }
            else -> Unit
        }
    }

    fun started(grant: Grant) {
        val owner = world.hosts.first { it.id == grant.owner }
        val late = signs[grant.upstream].orEmpty().firstOrNull { learned(it, owner) } ?: return
        val after = (world.timeline.nowMicros - late.atMicros) / MICROS_PER_MILLI
        report(
            Point.P6_LEAVING,
            "${grant.task} of ${owner.id} starts on ${grant.upstream} $after ms after ${late.host.id} saw it leave",
        )
    }

    private fun sign(
        host: SchedulerHost,
        upstream: UpstreamId,
    ) {
        val known = signs.getOrPut(upstream) { ArrayList() }
        if (known.none { it.host === host && it.process == host.process }) {
            known.add(Sign(host, host.process, world.timeline.nowMicros))
        }
    }

    /** True if the sign is old enough and nothing kept it from the owner since. */
    private fun learned(
        sign: Sign,
        owner: SchedulerHost,
    ): Boolean =
        world.timeline.nowMicros - sign.atMicros > LIMIT_MICROS &&
            sign.host.process == sign.process &&
            steady(sign.host, sign.atMicros) &&
            steady(owner, sign.atMicros) &&
            (sign.host === owner || world.network.undisturbedSince(sign.host.name, owner.name, sign.atMicros))

    private fun steady(
        host: SchedulerHost,
        sinceMicros: Long,
    ): Boolean = host.alive && !host.frozen && host.steadySinceMicros <= sinceMicros

    private fun drained(payload: String): UpstreamId? {
        val change = strictJson.decodeFromString(CatalogPayload.serializer(), payload)
        if (change !is CatalogPayload.ResourceChange) return null
        return (change.spec as? UpstreamSpec)?.takeIf { it.draining }?.let { UpstreamId(change.name) }
    }

    private companion object {
        const val LIMIT_MICROS = 3_000_000L
    }
}
