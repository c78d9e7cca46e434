package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.SchedulerState

/** A mistake put in on purpose around the kernel or into the fakes; the base class makes none. */
internal open class Mutation {
    open val upstreamRules: UpstreamRules = UpstreamRules()

    /** Replaces the state of a starting process; [previous] is the last state of the process before it. */
    open fun onStart(
        state: SchedulerState,
        previous: SchedulerState?,
    ): SchedulerState = state

    /** Replaces an event before the kernel sees it, or drops it with null. */
    open fun onEvent(event: Event): Event? = event

    /** Replaces the effects of a step. */
    open fun onEffects(effects: List<Effect>): List<Effect> = effects
}
