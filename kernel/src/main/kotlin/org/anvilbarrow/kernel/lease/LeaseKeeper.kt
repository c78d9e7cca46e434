package org.anvilbarrow.kernel.lease

import org.anvilbarrow.kernel.catalog.Versioned
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.home.HomeOffices
import org.anvilbarrow.kernel.ledger.Ledger
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import java.time.Instant

/** Obtains, renews and gives back the leases of upstreams. */
internal object LeaseKeeper {
    fun onTick(turn: Turn) {
        if (!turn.state.catalog.current) return
        val intended =
            turn.state.membership.intendedOwners
                .filterValues { it == turn.self }
                .keys
        (intended + turn.shardsWithLeases()).forEach { shard ->
            turn.upstreamsOf(shard).forEach { (upstream, declared) -> tend(turn, upstream, declared.spec) }
        }
    }

    fun onAnswer(
        turn: Turn,
        upstream: UpstreamId,
        sentAt: Instant,
        reply: LeaseReply,
    ) {
        val releasedAt =
            turn.state.lease.attempts[upstream]
                ?.releasedAt ?: Instant.EPOCH
        if (sentAt <= releasedAt) return
        when (reply) {
            is LeaseReply.Granted -> onGranted(turn, upstream, sentAt, reply)
            is LeaseReply.Denied -> onDenied(turn, upstream, sentAt)
        }
        turn.state.catalog.upstreams[upstream]
            ?.let { HomeOffices.refresh(turn, it.spec.shard) }
        turn.dispatchNeeded = true
    }

    /** Gives back every lease of [shard]. */
    fun release(
        turn: Turn,
        shard: ShardId,
    ) {
        turn.upstreamsOf(shard).forEach { (upstream, declared) -> releaseOne(turn, upstream, declared.spec) }
        turn.updateLease {
            copy(notIntendedSince = notIntendedSince.remove(shard), closingSince = closingSince.remove(shard))
        }
        HomeOffices.refresh(turn, shard)
    }

    /** Asks for the leases of [shard] on the next tick, because their holder is about to release them. */
    fun askSoon(
        turn: Turn,
        shard: ShardId,
    ) {
        val free = turn.upstreamsOf(shard).keys.filter { it !in turn.state.lease.leases }
        turn.updateLease {
            val asked =
                free.fold(
                    attempts,
                ) { all, id -> all.put(id, (all[id] ?: LeaseAttempt()).copy(lastSentAt = Instant.EPOCH)) }
            copy(attempts = asked)
        }
    }

    private fun tend(
        turn: Turn,
        upstream: UpstreamId,
        spec: UpstreamSpec,
    ) {
        // A renewal that arrives after the release would take the lease again and keep the next owner out for 3 s.
        if (spec.shard in turn.state.lease.closingSince) return
        val held = turn.state.lease.leases[upstream]
        val isIntended = turn.state.membership.intendedOwners[spec.shard] == turn.self
        val lastSentAt =
            turn.state.lease.attempts[upstream]
                ?.lastSentAt ?: Instant.EPOCH
        val interval = if (held == null) turn.limits.leaseRetry else turn.limits.leaseRenewal
        if (held != null && !isIntended && !held.isValid(turn.now)) return drop(turn, upstream)
        if (held == null && !isIntended) return
        if (turn.now >= lastSentAt + interval) request(turn, upstream, spec, held)
    }

    private fun request(
        turn: Turn,
        upstream: UpstreamId,
        spec: UpstreamSpec,
        held: UpstreamLease?,
    ) {
        val attempt = turn.state.lease.attempts[upstream] ?: LeaseAttempt()
        turn.updateLease { copy(attempts = attempts.put(upstream, attempt.copy(lastSentAt = turn.now))) }
        val request =
            LeaseRequest(
                turn.self,
                turn.state.self.incarnation,
                held?.epoch ?: 0,
                turn.limits.leaseTtl.toMillis(),
            )
        turn.emit(Effect.RequestLease(upstream, spec.address, turn.now, request))
    }

    /** A denial of a request that was sent before the one that obtained the lease says nothing about the lease. */
    private fun onDenied(
        turn: Turn,
        upstream: UpstreamId,
        sentAt: Instant,
    ) {
        val held = turn.state.lease.leases[upstream]
        if (held == null || sentAt >= held.requestedAt) drop(turn, upstream)
    }

    private fun onGranted(
        turn: Turn,
        upstream: UpstreamId,
        sentAt: Instant,
        reply: LeaseReply.Granted,
    ) {
        val validUntil = sentAt + turn.limits.leaseTtl - turn.limits.leaseMargin
        if (validUntil <= turn.now) return
        val held = turn.state.lease.leases[upstream]
        val lease =
            when {
                held == null -> newLease(turn, reply, sentAt, validUntil)
                sentAt < held.requestedAt -> return
                !held.isSameLease(reply) -> newLease(turn, reply, sentAt, validUntil)
                else -> renewed(turn, held, reply, sentAt, validUntil)
            }
        turn.updateLease { copy(leases = leases.put(upstream, lease)) }
    }

    private fun newLease(
        turn: Turn,
        reply: LeaseReply.Granted,
        sentAt: Instant,
        validUntil: Instant,
    ) = UpstreamLease(
        epoch = reply.epoch,
        upstreamIncarnation = reply.upstreamIncarnation,
        validUntil = validUntil,
        requestedAt = sentAt,
        upstreamMillis = reply.upstreamClockMillis,
        repliedAt = turn.now,
        ledger = Ledger().reconcile(reply.upstreamClockMillis, reply.running),
        leaving = reply.leaving,
    )

    private fun renewed(
        turn: Turn,
        held: UpstreamLease,
        reply: LeaseReply.Granted,
        sentAt: Instant,
        validUntil: Instant,
    ) = held.copy(
        validUntil = validUntil,
        requestedAt = sentAt,
        upstreamMillis = reply.upstreamClockMillis,
        repliedAt = turn.now,
        ledger = held.ledger.reconcile(reply.upstreamClockMillis, reply.running),
        leaving = held.leaving || reply.leaving,
    )

    private fun releaseOne(
        turn: Turn,
        upstream: UpstreamId,
        spec: UpstreamSpec,
    ) {
        val held = turn.state.lease.leases[upstream] ?: return
        turn.emit(Effect.ReleaseLease(upstream, spec.address, LeaseRelease(turn.self, held.epoch)))
        drop(turn, upstream)
        val attempt = turn.state.lease.attempts[upstream] ?: LeaseAttempt()
        turn.updateLease { copy(attempts = attempts.put(upstream, attempt.copy(releasedAt = turn.now))) }
    }

    private fun drop(
        turn: Turn,
        upstream: UpstreamId,
    ) {
        turn.updateLease { copy(leases = leases.remove(upstream)) }
    }
}

/** Returns the shards of which this scheduler holds, or held, leases. */
internal fun Turn.shardsWithLeases(): Set<ShardId> =
    state.lease.leases.keys
        .mapNotNullTo(LinkedHashSet()) { upstream ->
            state.catalog.upstreams[upstream]
                ?.spec
                ?.shard
        }

/** Returns the declared upstreams of [shard]. */
internal fun Turn.upstreamsOf(shard: ShardId): Map<UpstreamId, Versioned<UpstreamSpec>> =
    state.catalog.upstreamsByShard[shard].orEmpty()
