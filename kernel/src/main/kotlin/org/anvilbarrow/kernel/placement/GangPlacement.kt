package org.anvilbarrow.kernel.placement

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Places all tasks of a gang job or none, within one failure domain if one has room for all of them.
 *
 * The tasks of a gang are equal, so filling the upstreams one after the other finds a placement whenever one exists.
 */
public class GangPlacement : PlacementPolicy {
    override val name: String = "gang"

    override fun choose(
        need: Resources,
        candidates: List<Candidate>,
    ): UpstreamId? = chooseAll(need, 1, candidates)?.single()

    override fun chooseAll(
        need: Resources,
        count: Int,
        candidates: List<Candidate>,
    ): List<UpstreamId>? {
        val rooms = candidates.mapNotNull { roomOf(need, it) }
        val withinOneDomain =
            rooms
                .groupBy { it.candidate.failureDomain }
                .filterValues { domain -> holdsAll(domain, count) }
                .minByOrNull { (name, domain) -> DomainRank(tasksIn(domain), name) }
                ?.value
        val usable = withinOneDomain ?: rooms
        return if (holdsAll(usable, count)) fill(usable, count) else null
    }

    private fun roomOf(
        need: Resources,
        candidate: Candidate,
    ): Room? {
        val tasks = tasksThatFit(need, candidate.free)
        if (tasks == 0) return null
        return Room(candidate, tasks, unneededAccelerators(need, candidate), remainingShares(need, candidate))
    }

    private fun holdsAll(
        rooms: List<Room>,
        count: Int,
    ): Boolean = tasksIn(rooms) >= count

    private fun tasksIn(rooms: List<Room>): Long = rooms.sumOf { it.tasks.toLong() }

    private fun fill(
        rooms: List<Room>,
        count: Int,
    ): List<UpstreamId> {
        val chosen = ArrayList<UpstreamId>(count)
        for (room in rooms.sorted()) {
            val tasks = minOf(room.tasks, count - chosen.size)
            repeat(tasks) { chosen += room.candidate.upstream }
            if (chosen.size == count) break
        }
        return chosen
    }

    /** Orders failure domains by the room that they have, tightest first. */
    private data class DomainRank(
        val tasks: Long,
        val name: String,
    ) : Comparable<DomainRank> {
        override fun compareTo(other: DomainRank): Int =
            if (tasks != other.tasks) tasks.compareTo(other.tasks) else name.compareTo(other.name)
    }

    private class Room(
        val candidate: Candidate,
        val tasks: Int,
        val unneededAccelerators: Int,
        val remaining: Long,
    ) : Comparable<Room> {
        override fun compareTo(other: Room): Int {
            val byAccelerators = unneededAccelerators.compareTo(other.unneededAccelerators)
            if (byAccelerators != 0) return byAccelerators
            val byRemaining = remaining.compareTo(other.remaining)
            if (byRemaining != 0) return byRemaining
            return candidate.upstream.compareTo(other.candidate.upstream)
        }
    }
}
