package org.anvilbarrow.scheduler.process

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Returns a pool of up to [size] daemon threads that end when they are idle; further work waits. */
internal fun trafficThreads(
    name: String,
    size: Int,
): ThreadPoolExecutor {
    val count = AtomicInteger()
    val threads = { work: Runnable -> Thread(work, "$name-${count.incrementAndGet()}").apply { isDaemon = true } }
    return ThreadPoolExecutor(size, size, IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), threads).apply {
        allowCoreThreadTimeOut(true)
        rejectedExecutionHandler = ThreadPoolExecutor.DiscardPolicy()
    }
}

private const val IDLE_SECONDS = 10L
