package org.anvilbarrow.kernel.home

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.ledger.Grants
import org.anvilbarrow.kernel.placement.Candidate
import org.anvilbarrow.kernel.placement.candidatesIn
import org.anvilbarrow.kernel.placement.placementPolicyOf
import org.anvilbarrow.kernel.placement.tasksThatFit
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkloadSpec
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Duration

/** Finds capacity for one request: on the owned upstreams first, then on those of live peers in the region. */
internal object Placer {
    /** Longest pause of a gang that could not reserve everything; gangs pause differently, so that one gets through. */
    private const val MAX_GANG_BACKOFF_MILLIS = 200

    /** Returns false if there is no capacity for [request] now. */
    fun place(
        turn: Turn,
        request: HomeRequest,
        spec: WorkloadSpec,
    ): Boolean {
        val local = localChoice(turn, request, spec)
        val missing = spec.tasks - local.size
        val owners = peersFor(turn, spec, missing)
        if (owners.size < missing) return crossRegion(turn, request, spec)
        val grants =
            local.map { Grants.grant(turn, turn.newTaskId(), request.request.workload, it, spec.resources) }
        grants.forEach { grant -> turn.updateHome { copy(tasks = tasks.put(grant.task, request.key)) } }
        if (missing == 0) granted(turn, request, grants) else reserve(turn, request, spec, grants, owners)
        return true
    }

    /** Asks an owner in another region, if the request has waited long enough to be worth the paid bytes. */
    private fun crossRegion(
        turn: Turn,
        request: HomeRequest,
        spec: WorkloadSpec,
    ): Boolean {
        val owner = RegionCrossing.ownerFor(turn, request, spec) ?: return false
        reserve(turn, request, spec, emptyList(), listOf(owner))
        return true
    }

    fun onReserved(
        turn: Turn,
        grant: Grant,
    ) {
        if (grant.task in turn.state.home.abandonedTasks) {
            turn.updateHome { copy(abandonedTasks = abandonedTasks.remove(grant.task)) }
            return HomeRequests.handBack(turn, grant)
        }
        val request = requestOf(turn, grant.task) ?: return
        val phase = request.phase as? HomeRequest.Phase.Reserving ?: return
        if (grant.task !in phase.asked) return
        val asked = phase.asked.remove(grant.task)
        val grants = phase.grants.add(grant)
        val updated = request.copy(phase = phase.copy(asked = asked, grants = grants))
        turn.updateHome { copy(requests = requests.put(request.key, updated)) }
        if (asked.isEmpty()) completeReservation(turn, updated, grants)
    }

    fun onReserveDenied(
        turn: Turn,
        from: SchedulerId,
        denied: PeerMessage.ReserveDenied,
    ) {
        turn.updateMembership {
            val peer = peers[from] ?: return@updateMembership this
            // Free capacity is summed over upstreams and may fit no task; asking again at once cost 348 messages for
            // each placement at 1.5 times the capacity.
            copy(peers = peers.put(from, peer.copy(free = Resources.NONE)))
        }
        val request = requestOf(turn, denied.task) ?: return
        if (request.phase is HomeRequest.Phase.Reserving) requeue(turn, request)
        turn.dispatchNeeded = true
    }

    /** Gives up the reservations of [request] and lets it wait again. */
    fun requeue(
        turn: Turn,
        request: HomeRequest,
    ) {
        val phase = request.phase as? HomeRequest.Phase.Reserving ?: return
        HomeRequests.cancelReservations(turn, phase)
        val pause = if (phase.asked.size + phase.grants.size > 1) gangBackoff(turn, request) else Duration.ZERO
        val queued = request.copy(phase = HomeRequest.Phase.Queued, notBefore = turn.now + pause)
        turn.updateHome { copy(requests = requests.put(request.key, queued)) }
    }

    private fun completeReservation(
        turn: Turn,
        request: HomeRequest,
        grants: List<Grant>,
    ) {
        val office = turn.state.home.offices[request.shard]
        if (office?.covers(turn.now, turn.limits.grantTtl) == true) {
            granted(turn, request, grants)
        } else {
            requeue(turn, request)
        }
    }

    /** An upstream on which the request failed before is used only if there is no other. */
    private fun candidatesFor(
        turn: Turn,
        request: HomeRequest,
        spec: WorkloadSpec,
    ): List<Candidate> {
        val all = turn.candidatesIn(spec.region, request.request.workload)
        return all.filter { it.upstream !in request.avoid }.ifEmpty { all }
    }

    private fun localChoice(
        turn: Turn,
        request: HomeRequest,
        spec: WorkloadSpec,
    ): List<UpstreamId> {
        val candidates = candidatesFor(turn, request, spec)
        if (candidates.isEmpty()) return emptyList()
        if (spec.tasks == 1) {
            return listOfNotNull(placementPolicyOf(spec).choose(spec.resources, candidates))
        }
        val room = candidates.sumOf { tasksThatFit(spec.resources, it.free) }
        val count = minOf(room, spec.tasks)
        return placementPolicyOf(spec).chooseAll(spec.resources, count, candidates).orEmpty()
    }

    /** Chooses the owner to ask for each of [count] tasks, the one with most free slots first. */
    private fun peersFor(
        turn: Turn,
        spec: WorkloadSpec,
        count: Int,
    ): List<SchedulerId> {
        if (count == 0) return emptyList()
        return turn.state.membership.peers.values
            .filter { it.isLive(turn.now, turn.limits.peerTimeout) && it.heartbeat.region == spec.region }
            .sortedWith(compareBy({ -it.free.slots }, { it.heartbeat.scheduler }))
            .flatMap { peer ->
                List(minOf(count, tasksThatFit(spec.resources, peer.free))) { peer.heartbeat.scheduler }
            }.take(count)
    }

    private fun reserve(
        turn: Turn,
        request: HomeRequest,
        spec: WorkloadSpec,
        grants: List<Grant>,
        owners: List<SchedulerId>,
    ) {
        val asked = owners.associateBy { turn.newTaskId() }
        val phase =
            HomeRequest.Phase.Reserving(turn.now, asked.keys.toPersistentSet(), grants.toPersistentList())
        turn.updateHome {
            copy(
                requests = requests.put(request.key, request.copy(phase = phase)),
                tasks = asked.keys.fold(tasks) { map, task -> map.put(task, request.key) },
            )
        }
        asked.forEach { (task, owner) ->
            val region =
                turn.state.membership.peers
                    .getValue(owner)
                    .heartbeat.region
            notePeerUse(turn, owner, spec)
            turn.send(
                owner,
                PeerMessage.Reserve(task, request.request.workload, region, spec.resources, request.avoid.toList()),
            )
        }
    }

    private fun notePeerUse(
        turn: Turn,
        owner: SchedulerId,
        spec: WorkloadSpec,
    ) {
        turn.updateMembership {
            val peer = peers.getValue(owner)
            copy(peers = peers.put(owner, peer.copy(free = peer.free - spec.resources)))
        }
    }

    private fun granted(
        turn: Turn,
        request: HomeRequest,
        grants: List<Grant>,
    ) {
        val phase = HomeRequest.Phase.Granted(turn.now, grants, grants.map { it.task }.toPersistentSet())
        turn.updateHome {
            copy(
                requests = requests.put(request.key, request.copy(phase = phase)),
                queue = queue.remove(request.request.workload, request.key),
            )
        }
        val placed = PeerMessage.Placed(request.key.exchange, request.round, request.request.id, grants)
        turn.send(request.key.ingress, placed)
    }

    private fun requestOf(
        turn: Turn,
        task: TaskId,
    ): HomeRequest? =
        turn.state.home.tasks[task]
            ?.let { turn.state.home.requests[it] }

    private fun gangBackoff(
        turn: Turn,
        request: HomeRequest,
    ): Duration {
        val spread = (request.request.id.value + turn.now).hashCode().mod(MAX_GANG_BACKOFF_MILLIS)
        return Duration.ofMillis(spread.toLong())
    }
}
