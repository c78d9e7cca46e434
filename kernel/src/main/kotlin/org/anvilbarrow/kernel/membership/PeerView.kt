package org.anvilbarrow.kernel.membership

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration
import java.time.Instant

/** What this scheduler last heard from a peer. */
internal data class PeerView(
    val heartbeat: PeerMessage.Heartbeat,
    val heardAt: Instant,
    /** Free capacity as of the heartbeat, less what was reserved since. */
    val free: Resources,
) {
    fun isLive(
        now: Instant,
        timeout: Duration,
    ): Boolean = now < heardAt + timeout
}
