package org.anvilbarrow.benchmarks.cell

import org.anvilbarrow.protocol.model.Resources

/** Size and delays of a cell. */
internal data class CellShape(
    val name: String,
    val regions: List<String>,
    /** Failure domains over all regions. */
    val failureDomains: Int,
    val schedulersPerRegion: Int,
    val upstreams: Int,
    /** Largest number of upstreams in a shard. */
    val upstreamsPerShard: Int,
    val capacity: Resources,
    /** Upstreams that have [ACCELERATORS_PER_UPSTREAM] accelerators each. */
    val acceleratorUpstreams: Int = 0,
    /** One way between failure domains of a region. */
    val domainDelayMicros: Long = 500,
) {
    companion object {
        const val ACCELERATORS_PER_UPSTREAM: Int = 8
        const val UPSTREAMS_PER_RACK: Int = 8

        /** One way within a failure domain; the users state none, so this is an assumption. */
        const val LOCAL_DELAY_MICROS: Long = 100

        /** One way between regions. */
        const val REGION_DELAY_MICROS: Long = 30_000

        /** One way between a caller and a scheduler of its region. */
        const val CALLER_DELAY_MICROS: Long = 1_000

        private val tuulivarjoUpstream = Resources(64_000, 256 * 1024, slots = 8, connections = 64)
        private val prairieUpstream = Resources(32_000, 64 * 1024, slots = 8, connections = 64)

        /** Today's cell of Tuulivarjo. */
        val TUULIVARJO =
            CellShape(
                name = "tuulivarjo",
                regions = listOf("pohjanmaa-a", "lappi-a", "varsinais-a"),
                failureDomains = 9,
                schedulersPerRegion = 3,
                upstreams = 33,
                upstreamsPerShard = 4,
                capacity = tuulivarjoUpstream,
            )

        /** Today's cell of Prairie Habit Sync. */
        val PRAIRIE =
            CellShape(
                name = "prairie",
                regions = listOf("sask-regina", "alta-calgary", "mani-winnipeg"),
                failureDomains = 9,
                schedulersPerRegion = 3,
                upstreams = 33,
                upstreamsPerShard = 4,
                capacity = prairieUpstream,
                domainDelayMicros = 1_000,
            )

        /** A cell with the regions and failure domains of two years from now, with [upstreams] upstreams. */
        fun inTwoYears(
            upstreams: Int,
            schedulersPerRegion: Int = 3,
        ): CellShape =
            CellShape(
                name = "two-years-$upstreams-${schedulersPerRegion * TWO_YEARS_REGIONS}",
                regions = (1..TWO_YEARS_REGIONS).map { "region-$it" },
                failureDomains = 17,
                schedulersPerRegion = schedulersPerRegion,
                upstreams = upstreams,
                upstreamsPerShard = 10,
                capacity = tuulivarjoUpstream,
                acceleratorUpstreams = upstreams * ACCELERATOR_UPSTREAMS_PER_1400 / UPSTREAMS_IN_TWO_YEARS,
            )

        const val UPSTREAMS_IN_TWO_YEARS: Int = 1_400
        private const val TWO_YEARS_REGIONS = 7

        /** 2,000 accelerators, 8 to an upstream. */
        private const val ACCELERATOR_UPSTREAMS_PER_1400 = 250
    }
}
