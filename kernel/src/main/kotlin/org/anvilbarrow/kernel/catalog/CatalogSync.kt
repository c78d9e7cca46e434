package org.anvilbarrow.kernel.catalog

import kotlinx.collections.immutable.persistentListOf
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.membership.PeerView
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration

/** Obtains the catalog from a peer while the log does not answer, and writes snapshots while it does. */
internal object CatalogSync {
    /** After this time without an answer the log counts as down. */
    private val LOG_SILENCE: Duration = Duration.ofSeconds(2)

    private val snapshotRule = SnapshotRule()

    fun onTick(turn: Turn) {
        if (isLogDown(turn)) askPeer(turn) else writeSnapshot(turn)
    }

    fun onLogAnswer(
        turn: Turn,
        extent: LogExtent,
    ) = turn.updateSync { copy(logAnsweredAt = turn.now, extent = extent) }

    /** Sends the whole catalog to a peer, if this scheduler's is current. */
    fun onRequest(
        turn: Turn,
        from: SchedulerId,
        request: PeerMessage.CatalogRequest,
    ) {
        val catalog = turn.state.catalog
        if (!catalog.current || catalog.appliedOffset < request.fromOffset) return
        CatalogSnapshots.write(catalog, snapshotId(turn)).forEach { turn.send(from, PeerMessage.CatalogPart(it)) }
    }

    fun onPart(
        turn: Turn,
        part: CatalogPayload.Snapshot,
    ) {
        val earlier = turn.state.sync.peerParts
        val sameSnapshot = earlier.firstOrNull()?.snapshotId == part.snapshotId
        val parts = if (sameSnapshot) earlier.removeAll { it.part == part.part }.add(part) else persistentListOf(part)
        turn.updateSync { copy(peerParts = parts) }
        if (parts.size < part.parts) return
        turn.updateSync { copy(peerParts = persistentListOf()) }
        val adopted = CatalogFold.adopt(turn.state.catalog, parts).catalog
        CatalogReader.use(turn, if (isNewestKnown(turn, adopted)) adopted.copy(current = true) else adopted)
    }

    private fun isLogDown(turn: Turn): Boolean = turn.now > turn.state.sync.logAnsweredAt + LOG_SILENCE

    /** True if no live peer has applied more: with the log down, nothing newer was accepted by any of them. */
    private fun isNewestKnown(
        turn: Turn,
        catalog: Catalog,
    ): Boolean {
        val peers = livePeers(turn)
        return peers.isNotEmpty() && peers.all { it.heartbeat.appliedOffset <= catalog.appliedOffset }
    }

    private fun askPeer(turn: Turn) {
        val catalog = turn.state.catalog
        val newest = livePeers(turn).maxByOrNull { it.heartbeat.appliedOffset } ?: return
        val isBehind = newest.heartbeat.appliedOffset > catalog.appliedOffset
        val isDue = turn.now >= turn.state.sync.lastPeerRequestAt + turn.limits.peerReply
        if (!isDue || (catalog.current && !isBehind)) return
        turn.updateSync { copy(lastPeerRequestAt = turn.now) }
        turn.send(newest.heartbeat.scheduler, PeerMessage.CatalogRequest(catalog.appliedOffset))
    }

    private fun writeSnapshot(turn: Turn) {
        val extent = turn.state.sync.extent ?: return
        val live = livePeers(turn).map { it.heartbeat.scheduler } + turn.self
        val decision =
            snapshotRule.step(turn.state.sync.schedule, turn.state.catalog, extent, turn.self, live, turn.now)
        turn.updateSync { copy(schedule = decision.schedule) }
        if (!decision.write) return
        CatalogSnapshots.write(turn.state.catalog, snapshotId(turn)).forEach { part ->
            turn.emit(Effect.AppendToLog(CatalogPayloads.encode(part)))
        }
    }

    private fun snapshotId(turn: Turn) =
        "${turn.self}.${turn.state.self.incarnation}.${turn.state.catalog.appliedOffset}"

    private fun livePeers(turn: Turn): List<PeerView> =
        turn.state.membership.peers.values
            .filter { it.isLive(turn.now, turn.limits.peerTimeout) }
}
