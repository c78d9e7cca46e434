package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.JobPhase
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.model.UpstreamId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.time.Duration

/** Guards against jobs that are failed although fewer than two upstreams crashed under any of their tasks. */
class MisattributedCrashTest {
    @ParameterizedTest
    @ValueSource(ints = [160, 269, 374])
    fun `no job is failed for crashes of upstreams that its orders did not reach`(seed: Int): Unit =
        RandomCrashDay(seed).play()

    /** The days on which the fault was first seen; `-Dcrash-days=2000` plays more. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `random days with crashing upstreams end as they should`(seed: Int): Unit = RandomCrashDay(seed).play()

    /** The target of each of the first three runs loses power shortly before the start order, which nobody receives. */
    @ParameterizedTest
    @ValueSource(longs = [10, 50, 100, 200, 400])
    fun `no job is failed for orders to upstreams that were down already`(leadMillis: Long) {
        val cuts = ArrayList<PowerCut>()
        repeat(3) {
            val firstOrders = play(cuts).starts().distinctBy { it.order.run }
            firstOrders.getOrNull(cuts.size)?.let {
                cuts += PowerCut(it.order.upstream, it.sentAfter.minusMillis(leadMillis))
            }
        }
        val world = play(cuts)
        expectThat(world.violations).isEmpty()
        expectThat(world.maxCrashesUnder("a")).isEqualTo(0)
        expectThat(world.phase("a")).isEqualTo(JobPhase.COMPLETED)
    }

    private class PowerCut(
        val upstream: UpstreamId,
        val at: Duration,
    )

    /** Runs one job while upstreams lose power as [cuts] says. */
    private fun play(cuts: List<PowerCut>): JobWorld {
        val world = JobWorld(workers = 8)
        cuts.forEach { cut ->
            world.after(cut.at) { world.losePower(world.workers.getValue(cut.upstream), Duration.ofMillis(4_500)) }
        }
        world.run(Duration.ofSeconds(2))
        world.submit("a", step(1, millis = 800))
        world.run(Duration.ofSeconds(40))
        return world
    }

    private class SentStart(
        val order: UpstreamOrder.Start,
        val sentAfter: Duration,
    )

    private fun JobWorld.starts() =
        calls.mapNotNull { call -> (call.order as? UpstreamOrder.Start)?.let { SentStart(it, call.sentAfter) } }

    private companion object {
        @JvmStatic
        fun seeds(): List<Int> = (1..Integer.getInteger("crash-days", 500)).toList()
    }
}
