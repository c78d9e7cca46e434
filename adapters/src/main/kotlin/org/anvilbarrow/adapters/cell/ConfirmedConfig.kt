package org.anvilbarrow.adapters.cell

import org.anvilbarrow.kernel.jobs.CellConfig
import java.time.Duration

/** A version of the configuration, and the start of the last read in which the store showed no newer one. */
public class ConfirmedConfig(
    public val config: CellConfig,
    private val clock: SuspendAwareClock,
    private val confirmed: SuspendAwareClock.Reading,
) {
    /** Returns how long ago the read began that showed this version to be the newest. */
    public fun age(): Duration = clock.since(confirmed)

    /** Returns the same version, confirmed by a read that began at [reading]. */
    public fun confirmedBy(reading: SuspendAwareClock.Reading): ConfirmedConfig =
        ConfirmedConfig(config, clock, reading)
}
