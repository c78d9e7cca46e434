package org.anvilbarrow.kernel.lease

import org.anvilbarrow.protocol.peer.TaskResult
import java.time.Duration
import java.time.Instant

/** How the last tasks on an upstream ended; an upstream that fails everything is set aside for a while. */
internal data class UpstreamHealth(
    val consecutiveFailures: Int = 0,
    val setAsideUntil: Instant = Instant.EPOCH,
) {
    fun after(
        result: TaskResult,
        now: Instant,
    ): UpstreamHealth =
        when (result) {
            TaskResult.ANSWERED -> UpstreamHealth()
            TaskResult.NOT_RUN, TaskResult.STOPPED -> this
            TaskResult.FAILED, TaskResult.LOST -> afterFailure(now)
        }

    private fun afterFailure(now: Instant): UpstreamHealth {
        val failures = consecutiveFailures + 1
        if (failures < FAILURES_BEFORE_SET_ASIDE) return copy(consecutiveFailures = failures)
        return UpstreamHealth(failures, now + SET_ASIDE)
    }

    companion object {
        private const val FAILURES_BEFORE_SET_ASIDE = 5

        /** After this time the upstream gets work again; one more failure sets it aside anew. */
        private val SET_ASIDE: Duration = Duration.ofSeconds(10)
    }
}
