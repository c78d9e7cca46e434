package org.anvilbarrow.scheduler.process

import org.anvilbarrow.adapters.platform.LeaseCallResult
import org.anvilbarrow.adapters.platform.UpstreamClient
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor

/**
 * Carries out lease calls, at most one per upstream at a time.
 *
 * Upstreams whose last call went unanswered use a small pool of their own, so that a frozen failure domain cannot hold
 * up the renewals of healthy upstreams.
 */
internal class LeaseCaller(
    private val client: UpstreamClient,
    private val healthy: Executor,
    private val suspect: Executor,
    private val post: (Event) -> Unit,
) {
    private val inFlight = ConcurrentHashMap.newKeySet<UpstreamId>()
    private val unanswered = ConcurrentHashMap.newKeySet<UpstreamId>()

    fun request(effect: Effect.RequestLease) {
        if (!inFlight.add(effect.upstream)) return
        val pool = if (effect.upstream in unanswered) suspect else healthy
        pool.execute { call(effect) }
    }

    fun release(effect: Effect.ReleaseLease): Unit =
        healthy.execute { client.releaseLease(effect.address, effect.release) }

    private fun call(effect: Effect.RequestLease) {
        val event =
            try {
                when (val result = client.requestLease(effect.address, effect.request)) {
                    is LeaseCallResult.Answered -> Event.LeaseAnswered(effect.upstream, effect.sentAt, result.reply)
                    is LeaseCallResult.Unanswered -> Event.LeaseUnanswered(effect.upstream, effect.sentAt)
                }
            } finally {
                inFlight.remove(effect.upstream)
            }
        if (event is Event.LeaseAnswered) unanswered.remove(effect.upstream) else unanswered.add(effect.upstream)
        post(event)
    }
}
