package org.anvilbarrow.protocol.model

import kotlinx.serialization.Serializable

/** An amount of every resource that an upstream offers and a task needs. */
@Serializable
public data class Resources(
    val cpuMillicores: Int = 0,
    val memoryMebibytes: Int = 0,
    val accelerators: Int = 0,
    val slots: Int = 0,
    val connections: Int = 0,
) {
    /** Adds two amounts resource by resource. */
    public operator fun plus(other: Resources): Resources =
        Resources(
            cpuMillicores + other.cpuMillicores,
            memoryMebibytes + other.memoryMebibytes,
            accelerators + other.accelerators,
            slots + other.slots,
            connections + other.connections,
        )

    /** Subtracts [other] resource by resource; results may be negative. */
    public operator fun minus(other: Resources): Resources =
        Resources(
            cpuMillicores - other.cpuMillicores,
            memoryMebibytes - other.memoryMebibytes,
            accelerators - other.accelerators,
            slots - other.slots,
            connections - other.connections,
        )

    /** Multiplies every resource by [factor]. */
    public operator fun times(factor: Int): Resources =
        Resources(
            cpuMillicores * factor,
            memoryMebibytes * factor,
            accelerators * factor,
            slots * factor,
            connections * factor,
        )

    /** Returns the larger of two amounts, resource by resource. */
    public fun maxWith(other: Resources): Resources =
        Resources(
            maxOf(cpuMillicores, other.cpuMillicores),
            maxOf(memoryMebibytes, other.memoryMebibytes),
            maxOf(accelerators, other.accelerators),
            maxOf(slots, other.slots),
            maxOf(connections, other.connections),
        )

    /** Returns true if every resource of this amount is at most that of [available]. */
    public fun fitsIn(available: Resources): Boolean =
        cpuMillicores <= available.cpuMillicores &&
            memoryMebibytes <= available.memoryMebibytes &&
            accelerators <= available.accelerators &&
            slots <= available.slots &&
            connections <= available.connections

    public companion object {
        /** No resources. */
        public val NONE: Resources = Resources()
    }
}
