package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import java.time.Instant

private val log = KotlinLogging.logger("anvilbarrow.cell")

/**
 * Logs one line per decision, rate-limited per kind of decision.
 *
 * Suppressed lines are counted and the count is logged, so that a burst does not flood the log but remains visible.
 * Thread-safe.
 */
internal class DecisionLog(
    private val linesPerSecond: Int,
    private val write: (String) -> Unit = { line -> log.info { line } },
) {
    private class Budget {
        var used = 0
        var suppressed = 0
    }

    private val budgets = HashMap<String, Budget>()
    private var second: Instant = Instant.MIN

    @Synchronized
    fun write(
        kind: String,
        subject: String,
        detail: String,
        now: Instant,
    ) {
        refill(now)
        val budget = budgets.getOrPut(kind) { Budget() }
        if (budget.used < linesPerSecond) {
            budget.used++
            write("event=$kind subject=$subject detail=\"$detail\"")
        } else {
            budget.suppressed++
        }
    }

    private fun refill(now: Instant) {
        if (Duration.between(second, now) < SECOND) return
        second = now
        budgets.forEach { (kind, budget) ->
            if (budget.suppressed > 0) write("event=left-out subject=$kind detail=\"${budget.suppressed} line(s)\"")
            budget.used = 0
            budget.suppressed = 0
        }
    }

    private companion object {
        val SECOND: Duration = Duration.ofSeconds(1)
    }
}
