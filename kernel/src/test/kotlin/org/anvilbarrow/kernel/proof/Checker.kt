package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.peer.Grant

/** Compares what the kernels decide with what really happens, after every step and every start of a task. */
internal class Checker(
    private val world: World,
) {
    private val found = ArrayList<Violation>()
    private val runs = RunChecks(world, ::report)
    private val outcomes = OutcomeChecks(world, ::report)
    private val leaving = LeavingChecks(world, ::report)
    private val catalogs = CatalogChecks(world, ::report)
    val violations: List<Violation> get() = found
    val overlappingRetries: Int get() = runs.overlappingRetries

    fun beforeStep(
        host: SchedulerHost,
        event: Event,
    ) {
        leaving.signs(host, event)
        outcomes.told(host, event)
    }

    fun afterStep(
        host: SchedulerHost,
        before: SchedulerState,
        event: Event,
        effects: List<Effect>,
    ) {
        catalogs.check(host, before, event, effects)
        if (event is Event.Tick || event is Event.LeaseAnswered) exclusive(host)
        for (effect in effects) {
            when (effect) {
                is Effect.Execute -> outcomes.execute(host, effect)
                is Effect.Answer -> runs.answered(outcomes.answer(host, effect), effect)
                is Effect.Abandon -> outcomes.abandon(host, effect)
                is Effect.StopCompleted -> outcomes.stopCompleted(host)
                else -> Unit
            }
        }
    }

    fun started(
        exchange: Exchange,
        grant: Grant,
        upstream: FakeUpstream,
    ) {
        overfilled(upstream)
        runs.started(exchange, grant, upstream)
        leaving.started(grant)
    }

    fun opened(exchange: Exchange) {
        world.callers.opened(exchange)
        outcomes.awaitOutcome(exchange)
    }

    fun appended() = catalogs.appended()

    fun stuck(detail: String) = report(Point.STUCK, detail)

    private fun overfilled(upstream: FakeUpstream) {
        val used = upstream.running.values.fold(Resources.NONE) { sum, run -> sum + run.grant.resources }
        if (!used.fitsIn(upstream.spec.capacity)) {
            report(Point.P1_OVERFILLED, "${upstream.id} runs $used of ${upstream.spec.capacity}")
        }
    }

    /** On their own clocks, no two schedulers own one upstream or are home to one shard at the same time. */
    private fun exclusive(host: SchedulerHost) {
        val now = host.clock.instant()
        for (other in world.hosts.filter { it !== host && it.alive }) {
            val otherNow = other.clock.instant()
            val owned = host.state.ownedUpstreams(now).intersect(other.state.ownedUpstreams(otherNow).toSet())
            val homes = host.state.homeShards(now).intersect(other.state.homeShards(otherNow).toSet())
            if (owned.isNotEmpty()) report(Point.TWO_OWNERS, "${host.id} and ${other.id} both own $owned")
            if (homes.isNotEmpty()) report(Point.TWO_HOMES, "${host.id} and ${other.id} are both home of $homes")
        }
    }

    private fun report(
        point: Point,
        detail: String,
    ) {
        found.add(Violation(point, world.timeline.nowMicros, detail))
    }
}

/** Adds a violation. */
internal typealias Report = (Point, String) -> Unit
