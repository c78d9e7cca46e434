package org.anvilbarrow.benchmarks.jmh

import org.anvilbarrow.benchmarks.cell.Cell
import org.anvilbarrow.benchmarks.cell.CellShape
import org.anvilbarrow.benchmarks.simulation.FakeUpstream
import org.anvilbarrow.benchmarks.simulation.Timeline
import org.anvilbarrow.benchmarks.workload.WorkloadMix
import org.anvilbarrow.benchmarks.workload.WorkloadShare
import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.SchedulerState
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.peer.TaskResult

/**
 * One scheduler that owns all of [upstreams] upstreams, half of whose slots are in use.
 *
 * The state is immutable, so every measured step starts from the same [base].
 */
internal class KernelFixture(
    upstreams: Int,
) {
    private val kernel = Kernel()
    private val timeline = Timeline()
    private val cell = Cell(shapeOf(upstreams))
    private val leased = cell.upstreams.associate { it.id to FakeUpstream(it, timeline) }
    private var exchanges = 0L

    /** The state that steps are measured from. */
    val base: SchedulerState = fill(leaseAll(), upstreams * USED_SLOTS)

    private val arrival = nextArrival()

    /** Handles one request; returns the state and the effects, which start its task. */
    fun place() = kernel.step(base, arrival, timeline.instant())

    /** Handles one request and the end of its task: two events. */
    fun placeAndFinish(): SchedulerState {
        val step = place()
        val execute = step.effects.filterIsInstance<Effect.Execute>().single()
        val task = execute.grants.single().task
        val finished = Event.TaskFinished(arrival.exchange, task, TaskResult.ANSWERED, answerStarted = true)
        return kernel.step(step.state, finished, timeline.instant()).state
    }

    /** Handles one tick in which nothing is due. */
    fun tick(): SchedulerState = kernel.step(base, Event.Tick, timeline.instant()).state

    private fun leaseAll(): SchedulerState {
        var state = kernel.start(cell.schedulers.single(), emptyList(), timeline.instant())
        val records = cell.catalogRecords(mix.declarations(cell.shape.regions))
        state = kernel.step(state, Event.LogRead(records, records.size.toLong()), timeline.instant()).state
        repeat(TICKS_TO_LEASE) {
            timeline.runUntil(timeline.nowMicros + TICK_MICROS)
            state = tickAndAnswer(state)
        }
        return state
    }

    private fun tickAndAnswer(before: SchedulerState): SchedulerState {
        val step = kernel.step(before, Event.Tick, timeline.instant())
        return step.effects.filterIsInstance<Effect.RequestLease>().fold(step.state) { state, ask ->
            val reply = leased.getValue(ask.upstream).lease(ask.request)
            kernel.step(state, Event.LeaseAnswered(ask.upstream, ask.sentAt, reply), timeline.instant()).state
        }
    }

    private fun fill(
        empty: SchedulerState,
        tasks: Int,
    ): SchedulerState {
        var state = empty
        repeat(tasks) {
            val step = kernel.step(state, nextArrival(), timeline.instant())
            check(step.effects.any { it is Effect.Execute }) { "request was not placed: ${step.effects}" }
            state = step.state
        }
        return state
    }

    private fun nextArrival(): Event.RequestArrived {
        val number = exchanges++
        val now = timeline.instant().toEpochMilli()
        val workload = mix.shares.single().nameIn(REGION)
        val request = WorkRequest(RequestId("request-$number"), workload, now, now + DEADLINE_MILLIS, true)
        return Event.RequestArrived(ExchangeId(number), request)
    }

    private companion object {
        const val REGION = "region-1"
        const val USED_SLOTS = 4
        const val DEADLINE_MILLIS = 10_000L
        const val TICK_MICROS = 100_000L

        /** Twelve seconds; a new home answers ids that were issued before it took over as unknown. */
        const val TICKS_TO_LEASE = 120

        val mix =
            WorkloadMix(
                "one-service",
                listOf(
                    WorkloadShare(
                        name = "service",
                        kind = WorkloadKind.SERVICE,
                        urgency = Urgency.NORMAL,
                        idempotent = false,
                        resources = Resources(4_000, 8 * 1024, slots = 1, connections = 1),
                        tasks = 1,
                        weight = 1.0,
                        meanRunMillis = 1_000.0,
                        deadlineMillis = DEADLINE_MILLIS,
                    ),
                ),
            )

        fun shapeOf(upstreams: Int) =
            CellShape.TUULIVARJO.copy(
                name = "one-owner",
                regions = listOf(REGION),
                failureDomains = 3,
                schedulersPerRegion = 1,
                upstreams = upstreams,
                upstreamsPerShard = 10,
            )
    }
}
