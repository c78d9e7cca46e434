package org.anvilbarrow.scheduler.cell

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.anvilbarrow.adapters.cell.AppendCondition
import org.anvilbarrow.adapters.cell.AppendOutcome
import org.anvilbarrow.adapters.cell.CellStore
import org.anvilbarrow.adapters.cell.DelayedExecutor
import org.anvilbarrow.adapters.cell.NewestOutcome
import org.anvilbarrow.adapters.cell.PauseDetector
import org.anvilbarrow.adapters.cell.PlatformCatalog
import org.anvilbarrow.adapters.cell.ReadOutcome
import org.anvilbarrow.kernel.jobs.CallKey
import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.jobs.UpstreamEntry
import org.anvilbarrow.kernel.ownership.ClaimLimits
import org.anvilbarrow.protocol.jobs.CellMember
import org.anvilbarrow.protocol.jobs.CellMessage
import org.anvilbarrow.protocol.jobs.JobAnswer
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import java.util.PriorityQueue
import java.util.SplittableRandom
import java.util.concurrent.CompletableFuture

/** Context of a process that has a store and a clock, but no upstreams and no peers. */
internal fun testContext(
    address: String,
    store: CellStore,
    clock: InstantSource,
    executor: DelayedExecutor,
) = CellContext(
    CellMember(address, "region", "domain", 1.0),
    1,
    1,
    clock,
    { PauseDetector(clock, clock) },
    executor,
    store,
    OrderDispatch(
        address,
        { error("unexpected order") },
        clock,
        CorrelationNumbers(SplittableRandom(1)),
        { it() },
        { _, _ -> false },
    ),
    NoCatalog,
    { _, _, _ -> },
    DecisionLog(1),
    CellLimits(),
    ClaimLimits(),
    NoView,
)

private object NoCatalog : PlatformCatalog {
    override val operatorTopic = "operators"
    override val upstreamTopic = "upstreams"

    override fun isConfig(record: KeyedRecord): Boolean = false

    override fun config(record: KeyedRecord): CellConfig? = null

    override fun upstream(record: KeyedRecord): UpstreamEntry? = null
}

private object NoView : CellProcessView {
    override val config: CellConfig? = null
    override val helpers: ImmutableList<CellMember> = persistentListOf()

    override fun answer(
        call: CallKey,
        answer: JobAnswer,
    ) = Unit

    override fun broadcast(message: CellMessage) = Unit
}

/** A store on a controlled clock whose appends the test answers. */
internal class ManualStore : CellStore {
    private class Task(
        val at: Instant,
        val sequence: Int,
        val run: () -> Unit,
    )

    private var now: Instant = Instant.ofEpochSecond(100)
    private val tasks = PriorityQueue<Task>(compareBy({ it.at }, { it.sequence }))
    private var lastSequence = 0
    val appends = ArrayList<JournalWriterTest.PendingAppend>()
    val context =
        testContext("10.0.0.1:7000", this, { now }) { pause, task ->
            if (pause.isZero) task() else tasks += Task(now.plus(pause), lastSequence++, task)
        }

    fun run(time: Duration) {
        val end = now.plus(time)
        while (tasks.peek()?.at?.isAfter(end) == false) {
            val task = tasks.remove()
            now = task.at
            task.run()
        }
        now = end
    }

    override fun append(
        topic: String,
        partition: Int,
        records: List<KeyedRecord>,
        condition: AppendCondition,
    ): CompletableFuture<AppendOutcome> {
        val append = JournalWriterTest.PendingAppend(condition, records.map { it.key })
        appends += append
        return append.reply
    }

    override fun read(
        topic: String,
        partition: Int,
        from: Long,
        wait: Duration,
    ): CompletableFuture<ReadOutcome> = error("unexpected read")

    override fun newest(
        topic: String,
        partition: Int,
    ): CompletableFuture<NewestOutcome> = error("unexpected read")
}
