package org.anvilbarrow.kernel.core

import org.anvilbarrow.protocol.model.SchedulerId
import java.time.Instant

/**
 * Makes every decision of one scheduler, without I/O, clocks or randomness of its own.
 *
 * The same events at the same times give the same effects:
 * ```
 * val step = kernel.step(state, Event.Tick, clock.instant())
 * step.effects.forEach(::carryOut)
 * ```
 */
public class Kernel(
    private val limits: KernelLimits = KernelLimits(),
) {
    /** Returns the state of a scheduler that has just started and knows [peers] from its settings. */
    public fun start(
        self: SchedulerIdentity,
        peers: List<SchedulerId>,
        now: Instant,
    ): SchedulerState {
        check(self.id !in peers) { "scheduler ${self.id} is listed as its own peer" }
        check(now.isAfter(Instant.EPOCH.plus(limits.tick))) { "the clock shows $now" }
        return SchedulerState(self)
    }

    /** Handles one event that happened at [now]. */
    public fun step(
        state: SchedulerState,
        event: Event,
        now: Instant,
    ): Step<SchedulerState> {
        check(now.isAfter(Instant.EPOCH)) { "event $event at $now" }
        return Step(state, emptyList())
    }
}
