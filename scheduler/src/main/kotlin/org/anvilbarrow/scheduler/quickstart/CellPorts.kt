package org.anvilbarrow.scheduler.quickstart

import java.net.InetAddress
import java.net.ServerSocket

/** Returns [count] different loopback ports that were free a moment ago; peers must know each other's port. */
internal fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}
