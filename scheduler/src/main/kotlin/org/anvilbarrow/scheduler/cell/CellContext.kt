package org.anvilbarrow.scheduler.cell

import kotlinx.collections.immutable.ImmutableList
import org.anvilbarrow.adapters.cell.CellStore
import org.anvilbarrow.adapters.cell.DelayedExecutor
import org.anvilbarrow.adapters.cell.PauseDetector
import org.anvilbarrow.adapters.cell.PlatformCatalog
import org.anvilbarrow.kernel.jobs.CallKey
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.CellEffect
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.ownership.ClaimLimits
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.Ticket
import java.time.Duration
import java.time.InstantSource

/** Calls the advice service for [shard]; `done` gets the answer, or null if the call failed. */
internal fun interface AdviceCaller {
    fun advise(
        shard: Int,
        call: CellEffect.Advise,
        done: (List<Ticket>?) -> Unit,
    )
}

/** Dependencies that a [ShardController] gets from its process. */
@Suppress("LongParameterList") // Independent dependencies without a common grouping.
internal class CellContext(
    val self: CellMember,
    /** Unique for each start of a process. */
    val incarnation: Long,
    /** Number of shards in the cell. */
    val shards: Int,
    val clock: InstantSource,
    /** Creates a detector for one loop. */
    val pauseDetector: () -> PauseDetector,
    val executor: DelayedExecutor,
    val store: CellStore,
    val orders: OrderDispatch,
    val catalog: PlatformCatalog,
    val advice: AdviceCaller,
    val decisions: DecisionLog,
    val cellLimits: CellLimits,
    val claimLimits: ClaimLimits,
    val process: CellProcessView,
) {
    /** Runs [task] on the control thread. */
    fun post(task: () -> Unit): Unit = executor.run(Duration.ZERO, task)
}

/** The functions of a process that its shards use. */
internal interface CellProcessView {
    /** Current configuration, or null before it has been read. */
    val config: CellConfig?

    /** Processes that can call upstreams and the advice service, including this one. */
    val helpers: ImmutableList<CellMember>

    fun answer(
        call: CallKey,
        answer: JobAnswer,
    )

    /** Sends [message] to every connected process. */
    fun broadcast(message: CellMessage)
}
