package org.anvilbarrow.kernel.workspaces

import org.anvilbarrow.protocol.model.Resources

/** Sum of the resources of many tasks, or a limit of such a sum. */
public data class ResourceTotals(
    val cpuMillicores: Long = 0,
    val memoryMebibytes: Long = 0,
    val accelerators: Long = 0,
) {
    public operator fun plus(other: ResourceTotals): ResourceTotals =
        ResourceTotals(
            cpuMillicores + other.cpuMillicores,
            memoryMebibytes + other.memoryMebibytes,
            accelerators + other.accelerators,
        )

    public operator fun minus(other: ResourceTotals): ResourceTotals = this + other * -1

    public operator fun times(factor: Int): ResourceTotals =
        ResourceTotals(cpuMillicores * factor, memoryMebibytes * factor, accelerators * factor)

    /** Returns an equal part of this amount for each of [parts] parts, rounded down. */
    public fun dividedBy(parts: Int): ResourceTotals =
        ResourceTotals(cpuMillicores / parts, memoryMebibytes / parts, accelerators / parts)

    /** Returns how many tasks of [size] fit into this amount, at most [limit]. */
    public fun fitCount(
        size: Resources,
        limit: Int,
    ): Int {
        var count = limit.toLong()
        if (size.cpuMillicores > 0) count = minOf(count, cpuMillicores / size.cpuMillicores)
        if (size.memoryMebibytes > 0) count = minOf(count, memoryMebibytes / size.memoryMebibytes)
        if (size.accelerators > 0) count = minOf(count, accelerators / size.accelerators)
        return maxOf(count, 0).toInt()
    }

    public companion object {
        public val NONE: ResourceTotals = ResourceTotals()

        /** Large enough for any sum, and small enough for any sum to be added. */
        private const val NO_LIMIT = Long.MAX_VALUE / 4

        /** Limit that is never reached. */
        public val UNLIMITED: ResourceTotals = ResourceTotals(NO_LIMIT, NO_LIMIT, NO_LIMIT)

        /** Returns the amount of a single task. */
        public fun of(size: Resources): ResourceTotals =
            ResourceTotals(size.cpuMillicores.toLong(), size.memoryMebibytes.toLong(), size.accelerators.toLong())

        /** Returns a limit; a value of 0 or less means that the resource has no limit. */
        public fun limit(
            cpuMillicores: Long,
            memoryMebibytes: Long,
            accelerators: Long,
        ): ResourceTotals = ResourceTotals(bounded(cpuMillicores), bounded(memoryMebibytes), bounded(accelerators))

        private fun bounded(value: Long): Long = if (value <= 0) NO_LIMIT else minOf(value, NO_LIMIT)
    }
}
