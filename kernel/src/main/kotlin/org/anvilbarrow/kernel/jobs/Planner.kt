package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Instant

/** Free room of one upstream during one pass of the [Planner]. */
internal class Room(
    val id: UpstreamId,
    val capacity: Resources,
    used: Resources,
    val labels: Set<String> = emptySet(),
    val rack: String? = null,
) {
    private var freeCpu = capacity.cpuMillicores - used.cpuMillicores
    private var freeMemory = capacity.memoryMebibytes - used.memoryMebibytes
    private var freeAccelerators = capacity.accelerators - used.accelerators

    /** Steps with large tasks that wait and may run here; others go elsewhere if they can. */
    var demand = 0

    /** Priority of the gang that this room is kept for, or null; only more urgent steps may use it. */
    var keptForPriority: Int? = null

    /** Priority of the most urgent step that waits for this room, or null; patient steps leave it alone. */
    var wantedForPriority: Int? = null

    val freeMillicores: Int get() = freeCpu

    fun wantedFor(priority: Int) {
        wantedForPriority = minOf(wantedForPriority ?: priority, priority)
    }

    /** Returns how many tasks of [size] fit, at most [most]. */
    fun fits(
        size: Resources,
        most: Int,
    ): Int {
        var count = most
        if (size.cpuMillicores > 0) count = minOf(count, freeCpu / size.cpuMillicores)
        if (size.memoryMebibytes > 0) count = minOf(count, freeMemory / size.memoryMebibytes)
        if (size.accelerators > 0) count = minOf(count, freeAccelerators / size.accelerators)
        return maxOf(count, 0)
    }

    /** True if a task of [size] fits while nothing else runs here. */
    fun couldFit(size: Resources): Boolean = size.fitsIn(capacity)

    fun take(size: Resources) {
        freeCpu -= size.cpuMillicores
        freeMemory -= size.memoryMebibytes
        freeAccelerators -= size.accelerators
    }
}

/** Order in which steps are considered: the smaller goes first. */
internal data class Rank(
    /** 0 for steps that can meet their objective, 1 for late ones, 2 for those that are worth nothing any more. */
    val lateness: Int,
    val priority: Int,
    val deadline: Instant,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int =
        compareValuesBy(this, other, { it.lateness }, { it.priority }, { it.deadline })
}

/** Tasks of a step that are to be placed. */
internal class Demand(
    val step: StepRun,
    val rank: Rank,
    val tasks: List<Int>,
    /** Upstreams that the advice service allows, or null if there is no such rule. */
    val permitted: Set<UpstreamId>?,
    /** False if tickets have to be asked for before tasks can start. */
    val ticketed: Boolean,
    /** True if the step meets its objective also when it starts much later. */
    val patient: Boolean = false,
    /** Tasks of the step that run on an upstream already. */
    val runningOn: (UpstreamId) -> Int,
    /** True for upstreams on which the step failed. */
    val avoids: (UpstreamId) -> Boolean,
) {
    val spec: StepSpec get() = step.spec

    /** What a task takes from an upstream. */
    val size: Resources = spec.countedResources()

    fun allows(room: Room): Boolean =
        (permitted == null || room.id in permitted) &&
            (spec.requiredLabel == null || spec.requiredLabel in room.labels) &&
            isBefore(room.keptForPriority) &&
            (!patient || isBefore(room.wantedForPriority))

    /** True if nobody with [priority] has a better claim to a room; a step that waits may use what it waits for. */
    private fun isBefore(priority: Int?): Boolean = priority == null || rank.priority < priority
}

/** Resources that a task of the step takes from the room of its upstream. */
internal fun StepSpec.countedResources(): Resources =
    if (usesSpareCapacity) resources.copy(cpuMillicores = 0) else resources

/** One decision of the [Planner]. */
internal class Placement(
    val demand: Demand,
    val task: Int,
    val upstream: UpstreamId,
)

/** Result of one pass. */
internal class Plan(
    val placements: List<Placement>,
    /** Steps for which there is room, but no valid ticket. */
    val ticketsNeeded: List<Demand>,
    /** Steps for which there is no room, in order. */
    val blocked: List<Demand>,
)

/**
 * Decides which waiting tasks start where.
 *
 * It answers a load of about 0.8 of all processors in the mean with bursts above 1: urgent small tasks first, room
 * kept for the first gangs that wait, and tasks that may run anywhere kept off upstreams that large tasks wait for.
 * Room for a step without a ticket is kept while its ticket is asked for.
 */
internal class Planner(
    private val rooms: List<Room>,
) {
    private val placements = ArrayList<Placement>()
    private val ticketsNeeded = ArrayList<Demand>()
    private val blocked = ArrayList<Demand>()

    /** With much free room, a step that waits does not wait for what patient steps would use. */
    private val isBusy =
        rooms.sumOf { it.freeMillicores.toLong() } < rooms.sumOf { it.capacity.cpuMillicores * MOST_FREE }
    private val smallestCapacity = rooms.minOfOrNull { it.capacity.cpuMillicores } ?: 0
    private var keptGangs = 0

    fun plan(demands: List<Demand>): Plan {
        countDemand(demands)
        demands.sortedBy { it.rank }.forEach { if (it.spec.gang) placeGang(it) else placeTasks(it) }
        return Plan(placements, ticketsNeeded, blocked)
    }

    private fun countDemand(demands: List<Demand>) {
        val byId by lazy { rooms.associateBy { it.id } }
        for (demand in demands.filter { it.permitted != null && isLarge(it.size) }) {
            val permitted = demand.permitted.orEmpty().mapNotNull(byId::get)
            permitted.filter(demand::allows).forEach { it.demand++ }
        }
    }

    private fun isLarge(size: Resources): Boolean = size.cpuMillicores * LARGE_PARTS >= smallestCapacity

    private fun placeTasks(demand: Demand) {
        val usable = rooms.filter { demand.allows(it) && it.fits(demand.size, 1) == 1 }
        val candidates = usable.map { Candidate(demand, it) }
        var placed = 0
        for (task in demand.tasks) {
            val chosen = candidates.filter { it.hasRoom() }.minOrNull() ?: break
            chosen.take()
            if (demand.ticketed) placements += Placement(demand, task, chosen.room.id)
            placed++
        }
        if (placed > 0 && !demand.ticketed) ticketsNeeded += demand
        if (placed < demand.tasks.size) block(demand)
    }

    /** Patient steps of lower priority do not take the room that the step waits for. */
    private fun block(demand: Demand) {
        blocked += demand
        if (demand.rank.lateness > 0 || demand.patient || !isBusy) return
        val wanted = rooms.filter { demand.allows(it) && it.couldFit(demand.size) }
        // Room is not left empty for a gang that does not fit into all of it.
        if (demand.spec.gang && !couldHold(demand, wanted)) return
        wanted.forEach { it.wantedFor(demand.rank.priority) }
    }

    /** A room for the tasks of [demand]; the smaller is better. */
    private inner class Candidate(
        private val demand: Demand,
        val room: Room,
    ) : Comparable<Candidate> {
        private val penalty: Int = penaltyOf(demand, room)
        private var left: Int =
            demand.spec.maxPerUpstream.let { if (it == 0) Int.MAX_VALUE else it - demand.runningOn(room.id) }

        fun hasRoom(): Boolean = left > 0 && room.fits(demand.size, 1) == 1

        fun take() {
            room.take(demand.size)
            left--
        }

        override fun compareTo(other: Candidate): Int {
            val byPenalty = penalty.compareTo(other.penalty)
            return if (byPenalty != 0) byPenalty else room.freeMillicores.compareTo(other.room.freeMillicores)
        }
    }

    /** A failure on the upstream weighs most, then data elsewhere, then large tasks that wait for the room. */
    private fun penaltyOf(
        demand: Demand,
        room: Room,
    ): Int {
        val failed = if (demand.avoids(room.id)) FAILED_PENALTY else 0
        val remote = if (demand.spec.dataRack != null && room.rack != demand.spec.dataRack) REMOTE_PENALTY else 0
        val wanted = if (isLarge(demand.size)) 0 else minOf(room.demand, REMOTE_PENALTY - 1)
        return failed + remote + wanted
    }

    private fun placeGang(demand: Demand) {
        val usable = rooms.filter { demand.allows(it) }
        val chosen = chooseForGang(demand, usable)
        if (chosen == null) {
            keepRoom(demand, usable)
            block(demand)
            return
        }
        chosen.forEach { it.take(demand.size) }
        if (demand.ticketed) {
            demand.tasks.zip(chosen) { task, room -> placements += Placement(demand, task, room.id) }
        } else {
            ticketsNeeded += demand
        }
    }

    private fun chooseForGang(
        demand: Demand,
        usable: List<Room>,
    ): List<Room>? {
        if (demand.spec.sameRack) {
            val byRack = usable.groupBy { it.rack }.values
            byRack.mapNotNull { fill(demand, it) }.firstOrNull()?.let { return it }
            // A gang that no rack could ever hold runs on several.
            if (byRack.any { couldHold(demand, it) }) return null
        }
        return fill(demand, usable)
    }

    private fun couldHold(
        demand: Demand,
        rack: List<Room>,
    ): Boolean =
        rack.sumOf { Room(it.id, it.capacity, Resources.NONE).fits(demand.size, most(demand)) } >= demand.tasks.size

    /** Returns a room for each task, or null if not all fit. */
    private fun fill(
        demand: Demand,
        candidates: List<Room>,
    ): List<Room>? {
        val chosen = ArrayList<Room>(demand.tasks.size)
        val preference = compareBy<Room>({ penaltyOf(demand, it) }, { it.freeMillicores })
        for (room in candidates.sortedWith(preference)) {
            val fits = room.fits(demand.size, minOf(most(demand), demand.tasks.size - chosen.size))
            repeat(fits) { chosen += room }
            if (chosen.size == demand.tasks.size) return chosen
        }
        return null
    }

    private fun most(demand: Demand): Int =
        if (demand.spec.maxPerUpstream > 0) demand.spec.maxPerUpstream else demand.tasks.size

    /** Keeps the rooms that will hold the gang soonest from less urgent steps. */
    private fun keepRoom(
        demand: Demand,
        usable: List<Room>,
    ) {
        if (keptGangs >= MAX_KEPT_GANGS || demand.rank.lateness > 0 || !couldHold(demand, usable)) return
        keptGangs++
        var missing = demand.tasks.size
        for (room in usable.sortedByDescending { it.freeMillicores }) {
            if (missing <= 0) return
            val whole = Room(room.id, room.capacity, Resources.NONE).fits(demand.size, most(demand))
            missing -= whole
            room.keptForPriority = demand.rank.priority
        }
    }

    private companion object {
        /** A task that takes a fifth of an upstream or more is large. */
        const val LARGE_PARTS = 5

        /** Share of the processors that is free in a cell that is not busy. */
        const val MOST_FREE = 0.5
        const val REMOTE_PENALTY = 1_000_000
        const val FAILED_PENALTY = 2 * REMOTE_PENALTY

        /** Gangs that room is kept for at one time; more would leave upstreams idle for long. */
        const val MAX_KEPT_GANGS = 2
    }
}
