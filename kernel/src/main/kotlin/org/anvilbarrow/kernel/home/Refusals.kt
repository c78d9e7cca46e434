package org.anvilbarrow.kernel.home

import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RequestId
import java.time.Instant

/** A refusal that copies of the same id get as well. */
internal data class RememberedRefusal(
    val outcome: Outcome.Refused,
    val until: Instant,
)

/**
 * Gives copies that arrive shortly after a refusal the same answer.
 *
 * Without it, a copy that was on its way could run before the caller reads that the id did not run.
 */
internal object Refusals {
    fun remember(
        turn: Turn,
        id: RequestId,
        outcome: Outcome.Refused,
    ) {
        val until = turn.now + turn.limits.refusalRetention
        turn.updateHome {
            copy(
                refusals = refusals.put(id, RememberedRefusal(outcome, until)),
                refusalExpiry = refusalExpiry.schedule(id, until),
            )
        }
    }

    fun onTick(turn: Turn) {
        val due =
            turn.state.home.refusalExpiry
                .collect(turn.now)
        val ended =
            due.keys.filter { id ->
                turn.state.home.refusals[id]
                    ?.let { it.until <= turn.now } == true
            }
        turn.updateHome {
            copy(
                refusalExpiry = due.remaining,
                refusals = ended.fold(refusals) { left, id -> left.remove(id) },
            )
        }
    }
}
