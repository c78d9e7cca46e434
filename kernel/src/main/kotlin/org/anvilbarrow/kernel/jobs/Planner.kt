package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** An upstream as seen by one pass of the [Planner]: its free resources and the reservations on them. */
internal class PlacementTarget(
    val id: UpstreamId,
    val capacity: Resources,
    used: Resources,
    val labels: Set<String> = emptySet(),
    val rack: String? = null,
    /** Number of restarts that the owner has seen. */
    val restarts: Int = 0,
    /** True while a start order to the upstream is not answered, so that the reason of a crash would be uncertain. */
    val hasOpenStart: Boolean = false,
    /** Number of tasks here that are on probation because upstreams crashed under them. */
    var suspects: Int = 0,
    /** True while one of them has to be the only one. */
    var isIsolated: Boolean = false,
    /** Learned speed in levels; 0 is the average. */
    val speedLevel: Int = 0,
    /** Resources held by long-running tasks, for which nothing has to wait. */
    private val usedForGood: Resources = Resources.NONE,
) {
    private var freeCpu = capacity.cpuMillicores - used.cpuMillicores
    private var freeMemory = capacity.memoryMebibytes - used.memoryMebibytes
    private var freeAccelerators = capacity.accelerators - used.accelerators

    /** Number of waiting steps with large tasks that may run here. Small tasks avoid upstreams with a high number. */
    var waitingLargeSteps = 0

    /** Priority of the gang that this upstream is reserved for, or null. Only more urgent steps may use it. */
    var reservedForPriority: Int? = null

    /** Priority of the most urgent step that waits for this upstream, or null. Only steps that yield keep off it. */
    var softReservedForPriority: Int? = null

    val freeMillicores: Int get() = freeCpu

    fun softReserveFor(priority: Int) {
        softReservedForPriority = minOf(softReservedForPriority ?: priority, priority)
    }

    /** Returns how many tasks of [size] fit into the free resources, at most [limit]. */
    fun fitCount(
        size: Resources,
        limit: Int,
    ): Int {
        var count = limit
        if (size.cpuMillicores > 0) count = minOf(count, freeCpu / size.cpuMillicores)
        if (size.memoryMebibytes > 0) count = minOf(count, freeMemory / size.memoryMebibytes)
        if (size.accelerators > 0) count = minOf(count, freeAccelerators / size.accelerators)
        return maxOf(count, 0)
    }

    /** Returns how many tasks of [size] fit here once all tasks that end have ended, at most [limit]. */
    fun fitCountWhenIdle(
        size: Resources,
        limit: Int,
    ): Int = PlacementTarget(id, capacity, usedForGood).fitCount(size, limit)

    /** True if a suspect may start here, which [isIsolated] from all others or not. */
    fun admitsSuspect(isIsolated: Boolean): Boolean = if (isIsolated) suspects == 0 else !this.isIsolated

    fun addSuspects(
        count: Int,
        areIsolated: Boolean,
    ) {
        suspects += count
        isIsolated = isIsolated || areIsolated
    }

    fun allocate(size: Resources) {
        freeCpu -= size.cpuMillicores
        freeMemory -= size.memoryMebibytes
        freeAccelerators -= size.accelerators
    }
}

/** Order in which steps are placed, smallest first. */
internal data class Rank(
    /** True if the job is beyond the share of its workspace; it runs where others leave room. */
    val beyondShare: Boolean,
    /** 0 if the step can still meet its latency objective, 1 if it is late, 2 if its result has no value any more. */
    val lateness: Int,
    val priority: Int,
    val deadline: Instant,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int =
        compareValuesBy(this, other, { it.beyondShare }, { it.lateness }, { it.priority }, { it.deadline })
}

/** The tasks of one step that are ready to be placed. */
internal class Demand(
    val step: StepRun,
    val rank: Rank,
    val tasks: List<Int>,
    /** Upstreams that the advice service allows, or null if the queue has no advice service. */
    val permitted: Set<UpstreamId>?,
    /** False if the step has to request tickets from the advice service before its tasks can start. */
    val hasTickets: Boolean,
    /** Slowest speed at which tasks are likely to end in time, or null if the step has no time to spare. */
    val slowestTolerated: Int? = null,
    /** Slowest speed at which the step still ends in time if it starts now. */
    val slowestInTime: Int = Int.MIN_VALUE,
    /** True if the step has enough laxity to leave upstreams to steps of higher priority that wait for them. */
    val yieldsCapacity: Boolean = false,
    /** Number of tasks of the step that already run on an upstream. */
    val runningCountOn: (UpstreamId) -> Int,
    /** Those of [tasks] under which upstreams crashed. */
    val suspects: Suspects = Suspects.NONE,
    /** True for upstreams on which a run of the step failed. */
    val hasFailedOn: (UpstreamId) -> Boolean,
) {
    val spec: StepSpec get() = step.spec
    val workspace: String? get() = step.job.workspace

    /** Resources that one task reserves on an upstream. */
    val size: Resources = spec.countedResources()

    fun allows(target: PlacementTarget): Boolean =
        (permitted == null || target.id in permitted) &&
            (spec.requiredLabel == null || spec.requiredLabel in target.labels) &&
            outranks(target.reservedForPriority) &&
            (!yieldsCapacity || outranks(target.softReservedForPriority))

    /** True if there is no reservation, or one for less urgent steps only; tasks that last do not wait for others. */
    private fun outranks(priority: Int?): Boolean =
        priority == null || spec.longRunning || (!rank.beyondShare && rank.priority < priority)
}

/** Resources that a task of the step reserves on its upstream; spare processor time is not reserved. */
internal fun StepSpec.countedResources(): Resources =
    if (usesSpareCapacity) resources.copy(cpuMillicores = 0) else resources

/** Assignment of one task to an upstream. */
internal class Placement(
    val demand: Demand,
    val task: Int,
    val upstream: UpstreamId,
)

/** Result of one pass of the [Planner]. */
internal class Plan(
    val placements: List<Placement>,
    /** Steps whose tasks fit but that have no valid ticket. */
    val ticketsNeeded: List<Demand>,
    /** Steps with tasks that do not fit, by rank. */
    val blocked: List<Demand>,
    /** Steps with tasks that the limit of their workspace holds back. */
    val limited: Set<Demand>,
)

/**
 * Assigns waiting tasks to upstreams.
 *
 * Designed for a mean load of about 0.8 of all processors with bursts above 1. Steps are placed by rank, which puts
 * urgent steps first. Upstreams are reserved for the first waiting gangs, and small tasks avoid upstreams that large
 * tasks wait for. A step without tickets also takes its resources for the pass, so that they are still free when the
 * tickets arrive.
 */
internal class Planner(
    private val targets: List<PlacementTarget>,
    private val budget: WorkspaceBudget = WorkspaceBudget.NO_LIMITS,
) {
    private val placements = ArrayList<Placement>()
    private val ticketsNeeded = ArrayList<Demand>()
    private val blocked = ArrayList<Demand>()
    private val limited = LinkedHashSet<Demand>()

    /** Soft reservations are made only in a busy cell: otherwise no step waits for what yielding steps take. */
    private val isBusy =
        targets.sumOf { it.freeMillicores.toLong() } < targets.sumOf { it.capacity.cpuMillicores * BUSY_FREE_SHARE }
    private val smallestCapacity = targets.minOfOrNull { it.capacity.cpuMillicores } ?: 0
    private var reservedGangs = 0

    fun plan(demands: List<Demand>): Plan {
        countWaitingLargeSteps(demands)
        demands.sortedBy { it.rank }.forEach { if (it.spec.gang) placeGang(it) else placeTasks(it) }
        return Plan(placements, ticketsNeeded, blocked, limited)
    }

    private fun countWaitingLargeSteps(demands: List<Demand>) {
        val byId by lazy { targets.associateBy { it.id } }
        for (demand in demands.filter { it.permitted != null && isLarge(it.size) }) {
            val permitted = demand.permitted.orEmpty().mapNotNull(byId::get)
            permitted.filter(demand::allows).forEach { it.waitingLargeSteps++ }
        }
    }

    private fun isLarge(size: Resources): Boolean = size.cpuMillicores * LARGE_TASK_DIVISOR >= smallestCapacity

    /** Returns how many tasks of [demand] its workspace may start; a step that is held back reserves nothing. */
    private fun withinLimit(demand: Demand): Int {
        val allowed = budget.fitCount(demand.workspace, demand.spec.resources, demand.tasks.size)
        if (allowed < demand.tasks.size) limited += demand
        return allowed
    }

    private fun placeTasks(demand: Demand) {
        val allowed = withinLimit(demand)
        if (allowed == 0) return
        val usable = targets.filter { demand.allows(it) && it.fitCount(demand.size, 1) == 1 }
        val candidates = usable.map { Candidate(demand, it) }
        val (suspects, others) = demand.tasks.take(allowed).partition { it in demand.suspects.all }
        val placed =
            suspects.count { placeSuspect(demand, it, candidates) } +
                others
                    .takeWhile { task ->
                        place(demand, task, candidates.filter { it.hasCapacity() }.minOrNull())
                    }.size
        budget.take(demand.workspace, demand.spec.resources, placed)
        if (placed > 0 && !demand.hasTickets) ticketsNeeded += demand
        if (placed < allowed) block(demand)
    }

    private fun place(
        demand: Demand,
        task: Int,
        chosen: Candidate?,
    ): Boolean {
        chosen?.allocate() ?: return false
        if (demand.hasTickets) placements += Placement(demand, task, chosen.target.id)
        return true
    }

    /**
     * Suspects are spread evenly, so that a further crash leaves a fraction of them, and run where it ends the fewest
     * runs. Only those that are to be [isolated][Suspects.isolated] wait for each other.
     */
    private fun placeSuspect(
        demand: Demand,
        task: Int,
        candidates: List<Candidate>,
    ): Boolean {
        val isIsolated = task in demand.suspects.isolated
        val chosen =
            candidates
                .filter { it.hasCapacity() && it.target.admitsSuspect(isIsolated) }
                // An upstream that crashes for reasons of its own is often the emptiest one.
                .minWithOrNull(
                    compareBy(
                        { it.target.hasOpenStart },
                        { it.target.suspects },
                        { it.target.restarts },
                        { -it.target.freeMillicores },
                    ),
                )
        chosen?.target?.addSuspects(1, isIsolated)
        return place(demand, task, chosen)
    }

    /** False for steps that are late or beyond a share, for which no upstream is kept free. */
    private fun mayReserve(rank: Rank): Boolean = rank.lateness == 0 && !rank.beyondShare

    /** Records a step that has to wait, and keeps yielding steps of lower priority off the upstreams it waits for. */
    private fun block(demand: Demand) {
        blocked += demand
        if (!mayReserve(demand.rank) || demand.yieldsCapacity || !isBusy) return
        val awaited = targets.filter { demand.allows(it) && it.fitCountWhenIdle(demand.size, 1) == 1 }
        // A gang that could not start even if all of them were idle must not keep them idle.
        if (demand.spec.gang && !gangFitsWhenIdle(demand, awaited)) return
        awaited.forEach { it.softReserveFor(demand.rank.priority) }
    }

    /** A possible target for tasks of [demand]; among equals, the fullest one is preferred. */
    private inner class Candidate(
        private val demand: Demand,
        val target: PlacementTarget,
    ) : Comparable<Candidate> {
        private val penalty = penaltyOf(demand, target)
        private val speedRank = speedRankOf(demand, target)
        private val awaited = if (isLarge(demand.size)) 0 else target.waitingLargeSteps
        private var remaining: Int =
            demand.spec.maxPerUpstream.let { if (it == 0) Int.MAX_VALUE else it - demand.runningCountOn(target.id) }

        fun hasCapacity(): Boolean = remaining > 0 && target.fitCount(demand.size, 1) == 1

        fun allocate() {
            target.allocate(demand.size)
            remaining--
        }

        override fun compareTo(other: Candidate): Int =
            compareValuesBy(
                this,
                other,
                { it.penalty },
                { it.speedRank },
                { it.awaited },
                { it.target.freeMillicores },
            )
    }

    /** An earlier failure on the upstream weighs most, then remote data, then a suspect there. */
    private fun penaltyOf(
        demand: Demand,
        target: PlacementTarget,
    ): Int {
        val failed = if (demand.hasFailedOn(target.id)) FAILED_PENALTY else 0
        val remote = if (demand.spec.dataRack != null && target.rack != demand.spec.dataRack) REMOTE_PENALTY else 0
        return failed + remote + if (target.suspects > 0) SUSPECT_PENALTY else 0
    }

    /**
     * Steps with time to spare take the slowest upstreams that are fast enough for them, and leave the others to steps
     * that need them.
     */
    private fun speedRankOf(
        demand: Demand,
        target: PlacementTarget,
    ): Int {
        val tolerated = demand.slowestTolerated ?: return -target.speedLevel
        return if (target.speedLevel >= tolerated) target.speedLevel else TOO_SLOW_RANK - target.speedLevel
    }

    private fun placeGang(demand: Demand) {
        if (withinLimit(demand) < demand.tasks.size) return
        val isIsolated = demand.suspects.isolated.isNotEmpty()
        val allowed =
            targets.filter { demand.allows(it) && (demand.suspects.all.isEmpty() || it.admitsSuspect(isIsolated)) }
        val usable = withoutSlow(demand, allowed)
        val chosen = chooseForGang(demand, usable)
        if (chosen == null) {
            reserveTargets(demand, usable)
            block(demand)
            return
        }
        chosen.forEach { it.allocate(demand.size) }
        if (demand.suspects.all.isNotEmpty()) chosen.forEach { it.addSuspects(1, isIsolated) }
        budget.take(demand.workspace, demand.spec.resources, demand.tasks.size)
        if (demand.hasTickets) {
            demand.tasks.zip(chosen) { task, target -> placements += Placement(demand, task, target.id) }
        } else {
            ticketsNeeded += demand
        }
    }

    private fun chooseForGang(
        demand: Demand,
        usable: List<PlacementTarget>,
    ): List<PlacementTarget>? {
        if (demand.spec.sameRack) {
            val byRack = usable.groupBy { it.rack }.values
            byRack.mapNotNull { fill(demand, it) }.firstOrNull()?.let { return it }
            // Wait if an idle rack could hold the gang; a gang too large for any rack runs on several.
            if (byRack.any { gangFitsWhenIdle(demand, it) }) return null
        }
        return fill(demand, usable)
    }

    /**
     * Returns those of [usable] that a gang may occupy: all members work at the pace of the slowest upstream.
     *
     * Those that are too slow to end in time are left out if the others could hold the gang.
     */
    private fun withoutSlow(
        demand: Demand,
        usable: List<PlacementTarget>,
    ): List<PlacementTarget> {
        val slowest = minOf(demand.slowestInTime, HIGHEST_GANG_LEVEL)
        if (demand.rank.lateness > 0 || usable.none { it.speedLevel < slowest }) return usable
        val fast = usable.filter { it.speedLevel >= slowest }
        return if (gangFitsWhenIdle(demand, fast)) fast else usable
    }

    private fun gangFitsWhenIdle(
        demand: Demand,
        targets: List<PlacementTarget>,
    ): Boolean = targets.sumOf { it.fitCountWhenIdle(demand.size, maxPerTarget(demand)) } >= demand.tasks.size

    /** Returns a target for each task, or null if not all tasks fit. */
    private fun fill(
        demand: Demand,
        candidates: List<PlacementTarget>,
    ): List<PlacementTarget>? {
        val chosen = ArrayList<PlacementTarget>(demand.tasks.size)
        val preference = compareBy<PlacementTarget>({ penaltyOf(demand, it) }, { it.freeMillicores })
        for (target in candidates.sortedWith(preference)) {
            val fitCount = target.fitCount(demand.size, minOf(maxPerTarget(demand), demand.tasks.size - chosen.size))
            repeat(fitCount) { chosen += target }
            if (chosen.size == demand.tasks.size) return chosen
        }
        return null
    }

    private fun maxPerTarget(demand: Demand): Int =
        if (demand.spec.maxPerUpstream > 0) demand.spec.maxPerUpstream else demand.tasks.size

    /** Reserves the upstreams with most free processors, which can hold the gang soonest, against less urgent steps. */
    private fun reserveTargets(
        demand: Demand,
        usable: List<PlacementTarget>,
    ) {
        if (reservedGangs >= MAX_RESERVED_GANGS || !mayReserve(demand.rank)) return
        if (!gangFitsWhenIdle(demand, usable)) return
        reservedGangs++
        var missing = demand.tasks.size
        val suitable = usable.filter { it.fitCountWhenIdle(demand.size, 1) == 1 }
        for (target in suitable.sortedByDescending { it.freeMillicores }) {
            if (missing <= 0) return
            missing -= target.fitCountWhenIdle(demand.size, maxPerTarget(demand))
            target.reservedForPriority = demand.rank.priority
        }
    }

    private companion object {
        /** A task is large if it takes a fifth of the smallest upstream's processors or more. */
        const val LARGE_TASK_DIVISOR = 5

        /** A cell with a smaller share of free processors is busy. */
        const val BUSY_FREE_SHARE = 0.5
        const val SUSPECT_PENALTY = 1
        const val REMOTE_PENALTY = 2 * SUSPECT_PENALTY
        const val FAILED_PENALTY = 2 * REMOTE_PENALTY

        /** Speed rank behind those of all upstreams that are fast enough. */
        const val TOO_SLOW_RANK = 1_000

        /** Gangs do not wait for upstreams above the average speed. */
        const val HIGHEST_GANG_LEVEL = 0

        /** Gangs with a reservation at one time. More reservations would leave upstreams idle for long. */
        const val MAX_RESERVED_GANGS = 2
    }
}
