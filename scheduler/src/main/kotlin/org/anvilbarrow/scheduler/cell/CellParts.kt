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

/** Makes a call for advice for [shard] and passes the answer on, which is null if the call failed. */
internal fun interface AdviceCaller {
    fun advise(
        shard: Int,
        call: CellEffect.Advise,
        done: (List<Ticket>?) -> Unit,
    )
}

/** What a [ShardSeat] needs of its process. */
@Suppress("LongParameterList") // The process has these parts; each is used alone.
internal class CellParts(
    /** This process. */
    val self: CellMember,
    /** Differs for every start of a process. */
    val incarnation: Long,
    /** Number of shards of the cell. */
    val shards: Int,
    val clock: InstantSource,
    /** Makes a detector of pauses for one loop. */
    val pauses: () -> PauseDetector,
    val later: DelayedExecutor,
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
    fun post(task: () -> Unit): Unit = later.run(Duration.ZERO, task)
}

/** What shards see of their process. */
internal interface CellProcessView {
    /** Configuration in force, or null before it is known. */
    val config: CellConfig?

    /** The processes that can call upstreams and the advice service, this one among them. */
    val helpers: ImmutableList<CellMember>

    fun answer(
        call: CallKey,
        answer: JobAnswer,
    )

    /** Sends [message] to every connected process. */
    fun tellPeers(message: CellMessage)
}
