package org.anvilbarrow.adapters.peer

import org.anvilbarrow.protocol.model.SchedulerId

/** Counts what passes between this process and its peers; called on the peer threads. */
public interface PeerTraffic {
    /** A frame of [bytes] with its length prefix went to [peer]. */
    public fun sent(
        peer: SchedulerId,
        bytes: Int,
    )

    /** A frame of [bytes] with its length prefix came from [peer]. */
    public fun received(
        peer: SchedulerId,
        bytes: Int,
    )

    /** A message to [peer] was dropped because its queue was full or it was too long. */
    public fun dropped(peer: SchedulerId)
}
