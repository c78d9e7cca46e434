package org.anvilbarrow.adapters.peer

import org.anvilbarrow.protocol.model.SchedulerId

/** Where a peer listens and which region it is in. */
public data class PeerAddress(
    val id: SchedulerId,
    val host: String,
    val port: Int,
    val region: String,
)
