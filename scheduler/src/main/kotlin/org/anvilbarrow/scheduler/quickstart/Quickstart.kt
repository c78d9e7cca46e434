package org.anvilbarrow.scheduler.quickstart

import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.Urgency
import org.anvilbarrow.protocol.model.WorkloadKind
import org.anvilbarrow.protocol.model.WorkloadSpec
import org.anvilbarrow.standins.upstream.UpstreamSettings
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Sends requests of three kinds to a cell in this process and drains an upstream in the middle. */
internal class Quickstart(
    private val clock: InstantSource = InstantSource.system(),
) {
    private val client = CellClient(clock)
    private val callers = Executors.newFixedThreadPool(CALLERS) { Thread(it, "quickstart").apply { isDaemon = true } }
    private var sent = 0

    fun run(): QuickstartReport =
        Cell(UPSTREAMS, SCHEDULERS).use { cell ->
            declareAll(cell)
            awaitFirstAnswer(cell)
            val before = wave(cell, PER_WAVE)
            val drainedAt = clock.instant()
            cell.declare("upstream", DRAINED.value, upstream(cell, DRAINED, draining = true))
            val during = wave(cell, PER_WAVE)
            pause(Duration.between(clock.instant(), drainedAt.plus(DRAIN_LIMIT)))
            val after = wave(cell, PER_WAVE)
            val stopped = cell.stopSchedulers()
            val audit = CellAudit(cell.upstreams.mapValues { it.value.model.audit() })
            val seen = before + during + after
            val faults =
                audit.faults(GANG, GANG_TASKS) + audit.refusedButRan(seen) +
                    audit.startsAfter(DRAINED, drainedAt.plus(DRAIN_LIMIT))
            val stopFault = if (stopped) emptyList() else listOf("a scheduler did not hand everything over")
            callers.shutdownNow()
            QuickstartReport(seen.map(audit::withWait), faults + stopFault, GANG, GANG_TASKS)
        }

    private fun declareAll(cell: Cell) {
        SHARDS.forEachIndexed { index, shard ->
            val members = cell.upstreams.keys.filter { shardOf(it) == index }
            cell.declare("shard", shard.value, ShardSpec(Cell.REGION, members))
        }
        cell.declare("region", Cell.REGION, RegionSpec(SHARDS))
        cell.upstreams.keys.forEach { cell.declare("upstream", it.value, upstream(cell, it, draining = false)) }
        cell.declare("workload", SERVICE, workload(WorkloadKind.SERVICE, Urgency.URGENT, runMillis = 20))
        cell.declare("workload", BATCH, workload(WorkloadKind.BATCH, Urgency.DEFERRABLE, runMillis = 300))
        cell.declare("workload", GANG, workload(WorkloadKind.GANG, Urgency.NORMAL, runMillis = 100, tasks = GANG_TASKS))
    }

    private fun workload(
        kind: WorkloadKind,
        urgency: Urgency,
        runMillis: Long,
        tasks: Int = 1,
    ) = WorkloadSpec(
        kind,
        Cell.REGION,
        Resources(cpuMillicores = 4_000, memoryMebibytes = 8_192, slots = 1, connections = 1),
        tasks,
        urgency = urgency,
        expectedRunMillis = runMillis,
    )

    private fun upstream(
        cell: Cell,
        id: UpstreamId,
        draining: Boolean,
    ) = UpstreamSpec(
        cell.upstreamAddresses.getValue(id),
        SHARDS[shardOf(id)],
        "rack-${shardOf(id) + 1}",
        "${Cell.REGION}-${shardOf(id) + 1}",
        UpstreamSettings().capacity,
        draining,
    )

    private fun shardOf(id: UpstreamId): Int = (id.value.removePrefix("upstream-").toInt() - 1) % SHARDS.size

    /** Upstreams grant no lease for 3 s after their start, so the first requests of a new cell are refused. */
    private fun awaitFirstAnswer(cell: Cell) {
        val giveUpAt = clock.instant().plus(START_LIMIT)
        cell.callerPorts.forEach { port ->
            var ready = false
            while (!ready) {
                check(clock.instant().isBefore(giveUpAt)) { "the cell answered nothing within $START_LIMIT" }
                ready = send(port, SERVICE).outcome == CellClient.ANSWERED
                if (!ready) pause(RETRY)
            }
        }
    }

    private fun wave(
        cell: Cell,
        count: Map<String, Int>,
    ): List<Seen> =
        count
            .flatMap { (workload, requests) -> List(requests) { workload } }
            .mapIndexed { i, workload -> submit(cell.callerPorts[i % cell.callerPorts.size], workload) }
            .map { it.get() }

    private fun submit(
        port: Int,
        workload: String,
    ): Future<Seen> {
        val id = "quickstart-${++sent}"
        return callers.submit(Callable { client.send(port, workload, id, bodyOf(workload)) })
    }

    private fun send(
        port: Int,
        workload: String,
    ): Seen = submit(port, workload).get()

    private fun bodyOf(workload: String): String = "{\"runMillis\": ${RUN_MILLIS.getValue(workload)}}\n"

    private fun pause(time: Duration) {
        if (time > Duration.ZERO) CountDownLatch(1).await(time.toMillis(), TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val UPSTREAMS = 6
        const val SCHEDULERS = 2
        const val CALLERS = 12
        const val SERVICE = "map-tiles"
        const val BATCH = "weekly-digest"
        const val GANG = "route-model"
        const val GANG_TASKS = 3
        val SHARDS = listOf(ShardId("pohjanmaa-a-s1"), ShardId("pohjanmaa-a-s2"))
        val DRAINED = UpstreamId("upstream-2")
        val PER_WAVE = mapOf(SERVICE to 30, BATCH to 12, GANG to 4)
        val RUN_MILLIS = mapOf(SERVICE to 20, BATCH to 300, GANG to 100)
        val START_LIMIT: Duration = Duration.ofSeconds(30)
        val RETRY: Duration = Duration.ofMillis(250)

        /** A draining upstream gets nothing new after this time. */
        val DRAIN_LIMIT: Duration = Duration.ofSeconds(3)
    }
}
