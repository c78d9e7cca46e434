package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.queue.Admission
import org.anvilbarrow.kernel.queue.AdmissionView
import org.anvilbarrow.kernel.queue.DeadlineAdmission
import org.anvilbarrow.kernel.shard.homeShardOf
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.UnknownReason
import org.anvilbarrow.protocol.model.WorkloadSpec
import org.anvilbarrow.protocol.peer.PeerMessage
import java.time.Instant

/** Accepts requests at their home, each id once. */
internal object HomeDesk {
    fun onPlace(
        turn: Turn,
        from: SchedulerId,
        place: PeerMessage.Place,
    ) {
        val key = PlacementKey(from, place.exchange)
        val known = turn.state.home.requests[key]
        if (known != null && place.round <= known.round) return repeatAnswer(turn, known)
        val spec =
            turn.state.catalog.workloads[place.request.workload]
                ?.spec
        val shard = turn.state.catalog.homeShardOf(place.request)
        val outcome =
            when {
                !turn.state.catalog.current -> refused(RefusalReason.NOT_HOME)
                spec == null || shard == null -> refused(RefusalReason.UNKNOWN_WORKLOAD)
                !isHome(turn, shard) -> refused(RefusalReason.NOT_HOME, turn.limits.leaseTtl.toMillis())
                known != null -> null
                else -> rememberedRefusal(turn, place) ?: firstRejection(turn, shard, place, spec)
            }
        if (outcome != null) {
            if (known != null) HomeRequests.remove(turn, known)
            turn.send(from, PeerMessage.NotPlaced(place.exchange, place.round, outcome))
        } else {
            accept(turn, key, place, checkNotNull(shard))
        }
    }

    private fun repeatAnswer(
        turn: Turn,
        known: HomeRequest,
    ) {
        val phase = known.phase
        if (phase is HomeRequest.Phase.Granted) {
            val placed = PeerMessage.Placed(known.key.exchange, known.round, known.request.id, phase.grants)
            turn.send(known.key.ingress, placed)
        }
    }

    private fun isHome(
        turn: Turn,
        shard: ShardId,
    ): Boolean =
        shard !in turn.state.lease.closingSince &&
            turn.state.home.offices[shard]
                ?.isValid(turn.now) == true

    private fun rememberedRefusal(
        turn: Turn,
        place: PeerMessage.Place,
    ): Outcome? =
        turn.state.home.refusals[place.request.id]
            ?.outcome

    /** Returns why a request is not accepted, or null; a refusal is remembered for the copies that follow at once. */
    private fun firstRejection(
        turn: Turn,
        shard: ShardId,
        place: PeerMessage.Place,
        spec: WorkloadSpec,
    ): Outcome? {
        val rejection = rejection(turn, shard, place, spec) ?: return null
        val outcome = HomeRequests.truthful(turn, shard, place.request, rejection)
        if (outcome is Outcome.Refused) Refusals.remember(turn, place.request.id, outcome)
        return outcome
    }

    /** Returns why a request that arrives for the first time is not accepted, or null if it is. */
    private fun rejection(
        turn: Turn,
        shard: ShardId,
        place: PeerMessage.Place,
        spec: WorkloadSpec,
    ): Outcome? =
        idRejection(
            turn,
            turn.state.home.offices
                .getValue(shard),
            place,
            spec,
        )
            ?: CapacityCheck.neverFits(turn, spec)
            ?: admissionRejection(turn, place, spec)

    private fun idRejection(
        turn: Turn,
        office: HomeOffice,
        place: PeerMessage.Place,
        spec: WorkloadSpec,
    ): Outcome? {
        val issuedAt = Instant.ofEpochMilli(place.request.issuedAtEpochMillis)
        val isMemoryNeeded = !spec.idempotent || !place.request.firstAttempt
        return when {
            place.request.id in office.issuedAt -> Outcome.Unknown(UnknownReason.DUPLICATE)
            issuedAt > turn.now + turn.limits.issuedAhead -> refused(RefusalReason.ISSUED_IN_FUTURE)
            issuedAt < turn.now - turn.limits.idRetention -> Outcome.Unknown(UnknownReason.ISSUED_TOO_LONG_AGO)
            isMemoryNeeded && issuedAt < office.completeSince -> Outcome.Unknown(UnknownReason.MEMORY_LOST)
            else -> null
        }
    }

    private fun admissionRejection(
        turn: Turn,
        place: PeerMessage.Place,
        spec: WorkloadSpec,
    ): Outcome? {
        val deadline = Instant.ofEpochMilli(place.request.deadlineEpochMillis)
        if (turn.now >= deadline) return refused(RefusalReason.DEADLINE_PASSED)
        val view =
            AdmissionView(
                now = turn.now,
                deadline = deadline,
                queued = turn.state.home.queue.size,
                maxQueued = turn.limits.maxQueued,
                expectedWait = ExpectedWait.of(turn, place.request.workload, spec),
            )
        return when (val admission = DeadlineAdmission.admit(view)) {
            Admission.Admitted -> null
            is Admission.QueueFull -> refused(RefusalReason.QUEUE_FULL, admission.retryAfter.toMillis())
            is Admission.DeadlineUnreachable ->
                refused(RefusalReason.DEADLINE_UNREACHABLE, admission.retryAfter.toMillis())
        }
    }

    private fun accept(
        turn: Turn,
        key: PlacementKey,
        place: PeerMessage.Place,
        shard: ShardId,
    ) {
        val issuedAt = Instant.ofEpochMilli(place.request.issuedAtEpochMillis)
        val known = turn.state.home.requests[key]
        val request =
            HomeRequest(
                key,
                place.request,
                shard,
                place.round,
                turn.now,
                HomeRequest.Phase.Queued,
                avoid = known?.triedUpstreams().orEmpty(),
            )
        val earlier =
            turn.state.home.requests[key]
                ?.phase
        if (earlier is HomeRequest.Phase.Granted) HomeRequests.forgetTasks(turn, earlier)
        turn.updateHome {
            val office = offices.getValue(shard).remember(place.request.id, issuedAt)
            copy(
                offices = offices.put(shard, office),
                requests = requests.put(key, request),
                queue = queue.add(place.request.workload, key),
                requestChecks = requestChecks.schedule(key, request.deadline),
                idExpiry = idExpiry.schedule(ExpiringId(shard, place.request.id), issuedAt + turn.limits.idRetention),
            )
        }
        turn.dispatchNeeded = true
    }

    private fun refused(
        reason: RefusalReason,
        retryAfterMillis: Long? = null,
    ) = Outcome.Refused(reason, retryAfterMillis)
}
