package org.anvilbarrow.kernel.ledger

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.lease.UpstreamHealth
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.peer.TaskResult

/** Commits capacity of the owned upstreams and takes it back. */
internal object Grants {
    /** Commits [resources] of an owned upstream to [task]. */
    fun grant(
        turn: Turn,
        task: TaskId,
        workload: String,
        upstream: UpstreamId,
        resources: Resources,
    ): Grant {
        val lease =
            turn.state.lease.leases
                .getValue(upstream)
        val spec =
            turn.state.catalog.upstreams
                .getValue(upstream)
                .spec
        check(resources.fitsIn(spec.capacity - lease.ledger.committed)) { "task $task overfills $upstream" }
        val startBy = lease.startBy(turn.now, turn.limits.grantTtl)
        val ledger = lease.ledger.commit(Commitment(task, resources, startBy, workload))
        turn.updateLease { copy(leases = leases.put(upstream, lease.copy(ledger = ledger))) }
        return Grant(
            task = task,
            upstream = upstream,
            address = spec.address,
            owner = turn.self,
            leaseEpoch = lease.epoch,
            upstreamIncarnation = lease.upstreamIncarnation,
            startByUpstreamMillis = startBy,
            resources = resources,
        )
    }

    /** Takes the capacity of a task back that will certainly not run or run on. */
    fun release(
        turn: Turn,
        upstream: UpstreamId,
        task: TaskId,
    ) {
        val lease = turn.state.lease.leases[upstream] ?: return
        turn.updateLease { copy(leases = leases.put(upstream, lease.copy(ledger = lease.ledger.release(task)))) }
        turn.dispatchNeeded = true
    }

    /** Learns at the owner how a task ended; a task that may still run keeps its capacity. */
    fun onTaskEnded(
        turn: Turn,
        ended: PeerMessage.TaskEnded,
    ) {
        val isOver = ended.result != TaskResult.LOST && ended.result != TaskResult.STOPPED
        if (isOver) release(turn, ended.upstream, ended.task)
        if (ended.upstream !in turn.state.lease.leases) return
        turn.updateLease {
            val before = health[ended.upstream] ?: UpstreamHealth()
            copy(health = health.put(ended.upstream, before.after(ended.result, turn.now)))
        }
    }

    /** Answers another home's request for capacity. */
    fun onReserve(
        turn: Turn,
        from: SchedulerId,
        reserve: PeerMessage.Reserve,
    ) {
        if (isCommitted(turn, reserve.task)) return
        val upstream = ReservationChoice.choose(turn, reserve)
        if (upstream == null) {
            turn.updateMembership { copy(peerWaits = true) }
            turn.send(from, PeerMessage.ReserveDenied(reserve.task))
        } else {
            val grant = grant(turn, reserve.task, reserve.workload, upstream, reserve.resources)
            turn.send(from, PeerMessage.Reserved(grant))
        }
    }

    private fun isCommitted(
        turn: Turn,
        task: TaskId,
    ) = turn.state.lease.leases.values
        .any { task in it.ledger.commitments }
}
