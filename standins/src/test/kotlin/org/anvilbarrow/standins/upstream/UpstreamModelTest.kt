package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.SchedulerId
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.LeaseRelease
import org.anvilbarrow.protocol.upstream.LeaseReply
import org.anvilbarrow.protocol.upstream.LeaseRequest
import org.anvilbarrow.protocol.upstream.RunningTask
import org.anvilbarrow.protocol.upstream.StartRefusal
import org.anvilbarrow.standins.ManualClock
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

private const val TTL = 3_000L
private const val TASK_TTL = 20_000L
private val oneSlot = Resources(cpuMillicores = 1_000, slots = 1)

/** An upstream whose quiet time after its start is over. */
private class Fixture {
    val clock = ManualClock()
    val stopped = mutableListOf<TaskId>()
    val model = UpstreamModel(UpstreamSettings(), incarnation = 7, clock, stopped::add)

    init {
        clock.advanceMillis(TTL)
    }

    fun ask(
        scheduler: String = "a",
        epoch: Long = 0,
        incarnation: Long = 1,
        ttlMillis: Long = TTL,
    ) = model.lease(LeaseRequest(SchedulerId(scheduler), incarnation, epoch, ttlMillis))

    fun granted(
        scheduler: String = "a",
        epoch: Long = 0,
    ) = ask(scheduler, epoch) as LeaseReply.Granted

    fun instruction(
        epoch: Long = 1,
        task: String = "t1",
    ) = TaskInstruction(TaskId(task), "r1", "w", epoch, 7, clock.instant().toEpochMilli() + 1_000, oneSlot)

    fun start(instruction: TaskInstruction = instruction()) = model.start(instruction)

    fun restart() = model.restart(newIncarnation = 8)
}

private fun denied(
    holder: String?,
    expiresInMillis: Long,
) = LeaseReply.Denied(holder?.let(::SchedulerId), expiresInMillis)

internal class UpstreamModelTest {
    private fun cases(vararg cases: Pair<String, Fixture.() -> Unit>) =
        cases.map { (name, check) -> DynamicTest.dynamicTest(name) { Fixture().check() } }

    /** Two schedulers that hold one lease at a time would both commit the same capacity. */
    @TestFactory
    fun `grants the lease to one scheduler at a time`() =
        cases(
            "a free lease is granted" to { expectThat(granted().epoch).isEqualTo(1) },
            "a held lease is denied to others" to {
                ask("a")
                clock.advanceMillis(1_000)
                expectThat(ask("b")).isEqualTo(denied("a", 2_000))
            },
            "a held lease is denied to its holder if it asks for a new one" to {
                ask("a")
                expectThat(ask("a")).isEqualTo(denied("a", TTL))
            },
            "a lapsed lease is granted under a higher epoch" to {
                ask("a")
                clock.advanceMillis(TTL)
                expectThat(granted("b").epoch).isEqualTo(2)
            },
            "a released lease is granted at once under a higher epoch" to {
                ask("a")
                model.release(LeaseRelease(SchedulerId("a"), 1))
                expectThat(granted("b").epoch).isEqualTo(2)
            },
            "a release by another scheduler or of another epoch is ignored" to {
                ask("a")
                model.release(LeaseRelease(SchedulerId("b"), 1))
                model.release(LeaseRelease(SchedulerId("a"), 2))
                expectThat(ask("b")).isEqualTo(denied("a", TTL))
            },
            "a lease longer than the quiet time after a restart is denied" to {
                expectThat(ask(ttlMillis = TTL + 1)).isEqualTo(denied(null, 0))
            },
            "nothing is granted for one lease TTL after a restart" to {
                ask("a")
                clock.advanceMillis(1)
                restart()
                clock.advanceMillis(TTL - 1)
                expectThat(ask("b")).isEqualTo(denied(null, 1))
                expectThat(ask("a", epoch = 1)).isEqualTo(denied(null, 1))
                clock.advanceMillis(1)
                expectThat(granted("b").upstreamIncarnation).isEqualTo(8)
            },
        )

    /** A renewal of a lease that somebody else may have had in between would hide the change of owner. */
    @TestFactory
    fun `renews the lease only for its holder and only in time`() =
        cases(
            "a renewal keeps the epoch and counts from its arrival" to {
                ask("a")
                clock.advanceMillis(2_000)
                expectThat(granted("a", epoch = 1).epoch).isEqualTo(1)
                clock.advanceMillis(2_999)
                expectThat(ask("b")).isEqualTo(denied("a", 1))
            },
            "a renewal by another scheduler is denied" to {
                ask("a")
                expectThat(ask("b", epoch = 1)).isEqualTo(denied("a", TTL))
            },
            "a renewal by another incarnation of the holder is denied" to {
                ask("a")
                expectThat(ask("a", epoch = 1, incarnation = 2)).isEqualTo(denied("a", TTL))
            },
            "a renewal of an old epoch is denied" to {
                ask("a")
                clock.advanceMillis(TTL)
                ask("a")
                expectThat(ask("a", epoch = 1)).isEqualTo(denied("a", TTL))
            },
            "a lapsed lease is not renewed" to {
                ask("a")
                clock.advanceMillis(TTL)
                expectThat(ask("a", epoch = 1)).isEqualTo(denied(null, 0))
            },
        )

    /** A late or repeated instruction that starts a task would run it twice or without committed capacity. */
    @TestFactory
    fun `starts a task only under its lease, its incarnation and in time`(): List<DynamicTest> {
        val refusals =
            listOf<Triple<String, StartRefusal, Fixture.() -> TaskInstruction>>(
                Triple("another epoch", StartRefusal.EPOCH_SUPERSEDED) { instruction(epoch = 2) },
                Triple("another incarnation", StartRefusal.OTHER_INCARNATION) {
                    instruction().copy(upstreamIncarnation = 6)
                },
                Triple("a restart", StartRefusal.OTHER_INCARNATION) { instruction().also { restart() } },
                Triple("a lapsed lease", StartRefusal.LEASE_LAPSED) {
                    clock.advanceMillis(TTL)
                    instruction()
                },
                Triple("a released lease", StartRefusal.LEASE_LAPSED) {
                    model.release(LeaseRelease(SchedulerId("a"), 1))
                    instruction()
                },
                Triple("a later lease of another scheduler", StartRefusal.EPOCH_SUPERSEDED) {
                    clock.advanceMillis(TTL)
                    ask("b")
                    instruction()
                },
                Triple("its last moment", StartRefusal.START_BY_PASSED) {
                    instruction().also { clock.advanceMillis(1_000) }
                },
                Triple("a start of the same task", StartRefusal.TASK_KNOWN) { instruction().also(::start) },
                Triple("the end of the same task", StartRefusal.TASK_KNOWN) {
                    instruction().also {
                        start(it)
                        model.finish(it.task)
                    }
                },
                Triple("the end of the same task under a new lease", StartRefusal.TASK_KNOWN) {
                    start()
                    model.finish(TaskId("t1"))
                    clock.advanceMillis(TTL)
                    ask("b")
                    instruction(epoch = 2)
                },
            )
        return refusals.map { (name, reason, prepare) ->
            DynamicTest.dynamicTest("refuses after $name") {
                val fixture = Fixture().apply { ask("a") }
                val decision = fixture.start(fixture.prepare())
                expectThat(decision).isEqualTo(StartDecision.Refused(reason))
                expectThat(fixture.model.audit().refusals).containsExactly(RefusalCount(reason, 1))
            }
        } +
            cases(
                "starts just before its last moment" to {
                    ask("a")
                    val instruction = instruction()
                    clock.advanceMillis(999)
                    expectThat(start(instruction)).isEqualTo(StartDecision.Started)
                },
            )
    }

    /** An owner that died must not keep its tasks running elsewhere than where its successor places them. */
    @TestFactory
    fun `stops tasks that nobody is responsible for`() =
        cases(
            "all tasks stop when no lease was held for the task TTL" to {
                ask("a")
                start()
                clock.advanceMillis(TTL + TASK_TTL - 1)
                model.stopOrphans()
                expectThat(stopped).isEmpty()
                clock.advanceMillis(1)
                model.stopOrphans()
                expectThat(stopped).containsExactly(TaskId("t1"))
                expectThat(model.audit().orphansStopped).isEqualTo(1)
            },
            "the task TTL counts from a release" to {
                ask("a")
                start()
                model.release(LeaseRelease(SchedulerId("a"), 1))
                clock.advanceMillis(TASK_TTL)
                model.stopOrphans()
                expectThat(stopped).hasSize(1)
            },
            "tasks go on under the next lease and are listed in it" to {
                ask("a")
                start()
                clock.advanceMillis(TTL + TASK_TTL - 1)
                expectThat(granted("b").running).containsExactly(RunningTask(TaskId("t1"), oneSlot))
            },
            "a lease after the task TTL lists no task" to {
                ask("a")
                start()
                clock.advanceMillis(TTL + TASK_TTL)
                expectThat(granted("b").running).isEmpty()
            },
            "a restart stops all tasks" to {
                ask("a")
                start()
                restart()
                expectThat(stopped).containsExactly(TaskId("t1"))
            },
            "a stopped task has ended" to {
                ask("a")
                start()
                expectThat(model.stop(TaskId("t1"))).isTrue()
                expectThat(model.isRunning(TaskId("t1"))).isFalse()
                expectThat(model.finish(TaskId("t1"))).isFalse()
                expectThat(granted("a", epoch = 1).running).isEmpty()
            },
        )

    /** Tests of the scheduler rely on the audit to notice overfills and second runs. */
    @TestFactory
    fun `records what happened`() =
        cases(
            "an overfill is accepted and recorded" to {
                ask("a")
                repeat(9) { start(instruction(task = "t$it").copy(requestId = "r$it")) }
                model.finish(TaskId("t0"))
                val audit = model.audit(fromStart = 8)
                expectThat(audit.overfills).isEqualTo(1)
                expectThat(audit.highestCommitted).isEqualTo(oneSlot * 9)
                expectThat(audit.startCount).isEqualTo(9)
                expectThat(audit.starts.map { it.task }).containsExactly(TaskId("t8"))
                expectThat(audit.duplicateRequests).isEmpty()
            },
            "a second run of a request is recorded, also after a restart" to {
                ask("a")
                start(instruction(task = "t1"))
                restart()
                clock.advanceMillis(TTL)
                ask("a")
                start(instruction(task = "t2").copy(upstreamIncarnation = 8))
                expectThat(model.audit().duplicateRequests).containsExactly(RequestRuns("r1", 2))
            },
            "usage is reported late" to {
                ask("a")
                start()
                expectThat(granted("a", epoch = 1).usage).isNull()
                repeat(2) {
                    clock.advanceMillis(2_500)
                    expectThat(ask("a", epoch = 1)).isA<LeaseReply.Granted>()
                }
                expectThat(granted("a", epoch = 1).usage?.cpuMillicores).isEqualTo(1_000)
            },
            "an upstream that is leaving says so" to {
                model.leaving = true
                expectThat(granted().leaving).isTrue()
            },
        )
}
