package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.log.CatalogPayload.ResourceChange
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.WorkloadSpec

/** Puts the faults of a plan into a [World] and heals them. */
internal class FaultInjector(
    private val world: World,
) {
    private val timeline = world.timeline
    private val network = world.network
    private val leavingInVmList = HashSet<UpstreamId>()
    private val leaving = HashSet<UpstreamId>()
    private val downAfterStop = HashMap<SchedulerHost, Long>()
    private var changes = 0

    fun listedAsLeaving(id: UpstreamId): Boolean = id in leavingInVmList

    fun inject(fault: Fault) {
        world.trace.add("FLT", fault)
        when (fault) {
            is Fault.SchedulerDies -> schedulerDies(fault)
            is Fault.SchedulerPauses -> host(fault.scheduler).pause(millis(fault.millis))
            is Fault.PlannedStop -> plannedStop(fault)
            is Fault.UpstreamDies -> upstreamDies(fault)
            is Fault.UpstreamFails -> upstreamFails(fault)
            is Fault.UpstreamLeaves -> upstreamLeaves(upstream(fault.upstream), fault.sign)
            is Fault.PeersCut -> cut(host(fault.from).name, host(fault.to).name, fault.direction, fault.millis)
            is Fault.AllPeersCut -> cutAll(fault.scheduler, world.hosts.map { it.name }, fault.millis)
            is Fault.UpstreamCut ->
                cut(host(fault.scheduler).name, upstream(fault.upstream).id.value, fault.direction, fault.millis)
            is Fault.AllUpstreamsCut -> cutAll(fault.scheduler, world.upstreams.map { it.id.value }, fault.millis)
            is Fault.LogCut -> cutAll(fault.scheduler, listOf(World.LOG_NODE), fault.millis)
            is Fault.VmListCut -> cutAll(fault.scheduler, listOf(World.VM_LIST_NODE), fault.millis)
            is Fault.LogDown -> during(fault.millis) { world.log.reachable = !it }
            is Fault.LogSlow -> during(fault.millis) { world.log.slow = it }
            is Fault.OperatorsRace -> operatorsRace()
            is Fault.CancellationWave -> world.callers.cancelMost()
        }
    }

    /** Starts the next process of a slot whose planned stop has ended. */
    fun stopCompleted(host: SchedulerHost) {
        timeline.after(millis(downAfterStop.remove(host) ?: 0)) { if (!host.alive) host.start() }
    }

    private fun schedulerDies(fault: Fault.SchedulerDies) {
        val host = host(fault.scheduler)
        if (!host.alive) return
        host.kill()
        timeline.after(millis(fault.downMillis)) { if (!host.alive) host.start() }
    }

    private fun plannedStop(fault: Fault.PlannedStop) {
        val host = host(fault.scheduler)
        downAfterStop[host] = fault.downMillis
        host.run(host.process) { host.step(Event.StopRequested) }
    }

    private fun upstreamDies(fault: Fault.UpstreamDies) {
        val upstream = upstream(fault.upstream)
        if (!upstream.alive) return
        upstream.kill()
        timeline.after(millis(fault.downMillis)) { upstream.restart(world.limits.leaseTtl.toMillis()) }
    }

    private fun upstreamFails(fault: Fault.UpstreamFails) {
        val upstream = upstream(fault.upstream)
        during(fault.millis) { upstream.failing = it }
    }

    /** At most one upstream leaves a run for good, so that gangs still fit. */
    private fun upstreamLeaves(
        upstream: FakeUpstream,
        sign: LeavingSign,
    ) {
        if (leaving.isNotEmpty()) return
        leaving.add(upstream.id)
        when (sign) {
            LeavingSign.VM_LIST -> leavingInVmList.add(upstream.id)
            LeavingSign.UPSTREAM -> upstream.leaving = true
            LeavingSign.OPERATOR -> operatorDrains(upstream)
        }
    }

    private fun operatorDrains(upstream: FakeUpstream) {
        val spec = upstream.spec.copy(draining = true)
        world.append(ResourceChange("drain-${upstream.id}", "upstream", upstream.id.value, spec))
        val asked = world.hosts[0]
        asked.run(asked.process) { asked.step(Event.DrainRequested(upstream.id)) }
    }

    /** Of two changes against one version the first takes effect; the copy of the first is ignored. */
    private fun operatorsRace() {
        val name =
            world.declared.workloads.keys
                .first()
        val (spec, version) = world.reference.at(world.log.endOffset)?.get("workload" to name) ?: return
        val workload = spec as? WorkloadSpec ?: return
        val round = ++changes
        val first = ResourceChange("race-$round-a", "workload", name, workload.copy(expectedRunMillis = 300), version)
        val second = ResourceChange("race-$round-b", "workload", name, workload.copy(expectedRunMillis = 100), version)
        listOf(first, second, first).forEach(world::append)
    }

    private fun cutAll(
        scheduler: Int,
        others: List<String>,
        millis: Long,
    ) {
        val name = host(scheduler).name
        others.filter { it != name }.forEach { cut(name, it, Direction.BOTH, millis) }
    }

    private fun cut(
        one: String,
        other: String,
        direction: Direction,
        millis: Long,
    ) {
        if (one == other) return
        if (direction != Direction.BACKWARD) cutOneWay(one, other, millis)
        if (direction != Direction.FORWARD) cutOneWay(other, one, millis)
    }

    private fun cutOneWay(
        from: String,
        to: String,
        millis: Long,
    ) {
        network.cut(from, to)
        timeline.after(millis(millis)) { network.heal(from, to) }
    }

    private fun during(
        millis: Long,
        switch: (Boolean) -> Unit,
    ) {
        switch(true)
        timeline.after(millis(millis)) { switch(false) }
    }

    private fun host(index: Int) = world.hosts[index % world.hosts.size]

    private fun upstream(index: Int) = world.upstreams[index % world.upstreams.size]
}
