package org.anvilbarrow.scheduler.process

import java.util.concurrent.LinkedTransferQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Returns a pool that starts a thread only if none is idle, up to [size]; further work waits. */
internal fun trafficThreads(
    name: String,
    size: Int,
): ThreadPoolExecutor {
    val count = AtomicInteger()
    val threads = { work: Runnable -> Thread(work, "$name-${count.incrementAndGet()}").apply { isDaemon = true } }
    return ThreadPoolExecutor(1, size, IDLE_SECONDS, TimeUnit.SECONDS, IdleFirstQueue(), threads).apply {
        setRejectedExecutionHandler { work, pool -> if (!pool.isShutdown) pool.queue.put(work) }
    }
}

/**
 * Accepts work only from an idle thread's hands, so that the pool starts another thread, or rejects the work once it
 * has its full size. A plain queue would make the pool start all its threads before it uses an idle one.
 */
private class IdleFirstQueue : LinkedTransferQueue<Runnable>() {
    override fun offer(work: Runnable): Boolean = tryTransfer(work)

    private companion object {
        const val serialVersionUID = 1L
    }
}

private const val IDLE_SECONDS = 10L
