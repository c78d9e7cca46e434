package org.anvilbarrow.scheduler.cell

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import java.time.Instant

private val log = KotlinLogging.logger("anvilbarrow.cell")

/**
 * Writes one line for each decision, within a budget of lines for each kind.
 *
 * Lines above the budget are counted and the count is written, so that a burst neither floods the log nor hides.
 * It is used on any thread.
 */
internal class DecisionLog(
    private val linesPerSecond: Int,
    private val write: (String) -> Unit = { line -> log.info { line } },
) {
    private class Budget {
        var used = 0
        var leftOut = 0
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
            budget.leftOut++
        }
    }

    private fun refill(now: Instant) {
        if (Duration.between(second, now) < SECOND) return
        second = now
        budgets.forEach { (kind, budget) ->
            if (budget.leftOut > 0) write("event=left-out subject=$kind detail=\"${budget.leftOut} line(s)\"")
            budget.used = 0
            budget.leftOut = 0
        }
    }

    private companion object {
        val SECOND: Duration = Duration.ofSeconds(1)
    }
}
