package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Kernel
import org.anvilbarrow.kernel.core.SchedulerIdentity
import org.anvilbarrow.protocol.codec.PeerCodec
import org.anvilbarrow.protocol.model.SchedulerId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.time.Instant

/** Guards against a kernel that decides by anything but its events and their times, such as a clock or hash order. */
internal class ReplayTest {
    private class RecordedStep(
        val now: Instant,
        val event: Event,
        val effects: List<Effect>,
    )

    private class Recording(
        val identity: SchedulerIdentity,
        val peers: List<SchedulerId>,
        val startedAt: Instant,
    ) {
        val steps = ArrayList<RecordedStep>()
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13])
    fun `recorded events give the same effects, byte for byte`(seed: Long) {
        val recordings = record(Plan(seed, faults = listOf(TimedFault(2_000, Fault.PlannedStop(1, downMillis = 500)))))
        recordings.forEach { recording ->
            expectThat(recording.steps.size).isGreaterThan(100)
            val expected = recording.steps.map { step -> step.effects.map(::bytesOf) }
            expectThat(replay(recording)).isEqualTo(expected)
        }
    }

    /** Records every process that ran, from its start on. */
    private fun record(plan: Plan): List<Recording> {
        val world = World(plan)
        val recordings = LinkedHashMap<Pair<SchedulerId, Long>, Recording>()
        world.onStep = { host, event, effects ->
            val recording =
                recordings.getOrPut(host.id to host.process) {
                    val identity = SchedulerIdentity(host.id, host.process, host.region, "${host.region}-1")
                    Recording(identity, world.hosts.map { it.id } - host.id, host.clock.instant())
                }
            recording.steps += RecordedStep(host.clock.instant(), event, effects)
        }
        world.run()
        return recordings.values.toList()
    }

    private fun replay(recording: Recording): List<List<String>> {
        val kernel = Kernel(World(Plan(0)).limits)
        var state = kernel.start(recording.identity, recording.peers, recording.startedAt)
        return recording.steps.map { recorded ->
            val step = kernel.step(state, recorded.event, recorded.now)
            state = step.state
            step.effects.map(::bytesOf)
        }
    }

    private fun bytesOf(effect: Effect): String =
        if (effect is Effect.SendToPeer) {
            "${effect.to} ${PeerCodec.encode(effect.message).joinToString("") { "%02x".format(it) }}"
        } else {
            effect.toString()
        }
}
