package org.anvilbarrow.kernel.ingress

import kotlinx.collections.immutable.PersistentMap
import org.anvilbarrow.protocol.model.ExchangeId
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.model.WorkRequest
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.TaskResult
import java.time.Instant

/** A caller's request at the scheduler that received it. */
internal data class Exchange(
    val id: ExchangeId,
    val request: WorkRequest,
    /** Counts the placements asked for; a retry asks for another. */
    val round: Int,
    /** Counts how often its tasks were started. */
    val executions: Int = 0,
    /** True once a task of an earlier round may have run. */
    val mayHaveRun: Boolean = false,
    val phase: Phase,
) {
    val deadline: Instant get() = Instant.ofEpochMilli(request.deadlineEpochMillis)

    /** How far an exchange has come. */
    sealed interface Phase {
        /** Waits for its home to place it; [home] is null while no home is known. */
        data class AwaitingHome(
            val home: SchedulerId?,
            val lastSentAt: Instant,
        ) : Phase

        /** Its tasks were started; [results] holds those that ended. */
        data class Executing(
            val home: SchedulerId,
            val grants: List<Grant>,
            val results: PersistentMap<TaskId, TaskResult>,
            /** True once the tasks were told to stop, because nobody waits for their answer. */
            val abandoned: Boolean,
            /** True once the caller left or got its outcome, while tasks may still run. */
            val callerServed: Boolean = false,
            val answerStarted: Boolean = false,
        ) : Phase
    }
}
