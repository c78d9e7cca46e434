package org.anvilbarrow.standins.http

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.util.Callback
import java.io.EOFException
import java.util.Collections
import java.util.WeakHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Connections that never answer again, and the writes that wait on them. */
internal class SilentConnections : AutoCloseable {
    private val endPoints = Collections.synchronizedSet(Collections.newSetFromMap(WeakHashMap<EndPoint, Boolean>()))
    private val waiting = ConcurrentLinkedQueue<Callback>()

    operator fun contains(endPoint: EndPoint): Boolean = endPoint in endPoints

    fun add(endPoint: EndPoint) {
        endPoints += endPoint
    }

    /** Leaves a write unfinished until the stand-in is closed. */
    fun hold(write: Callback) {
        waiting += write
    }

    override fun close() {
        generateSequence { waiting.poll() }.forEach { it.failed(EOFException("the stand-in was closed")) }
    }
}
