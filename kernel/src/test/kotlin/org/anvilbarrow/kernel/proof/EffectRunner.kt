package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect
import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.peer.Grant
import org.anvilbarrow.protocol.peer.PeerMessage
import org.anvilbarrow.protocol.peer.TaskResult

/** Carries out effects as the adapters do, over the faulty network. */
internal class EffectRunner(
    private val world: World,
) {
    private val timeline = world.timeline
    private val network = world.network
    private val random = world.random

    fun carryOut(
        host: SchedulerHost,
        effect: Effect,
    ) {
        if (effect !is Effect.RequestLease && (effect as? Effect.SendToPeer)?.message !is PeerMessage.Heartbeat) {
            world.trace.add(host.name, effect)
        }
        when (effect) {
            is Effect.SendToPeer -> sendToPeer(host, effect)
            is Effect.RequestLease -> requestLease(host, effect)
            is Effect.ReleaseLease ->
                network.send(host.name, effect.upstream.value) {
                    world.upstream(effect.upstream).takeIf { it.alive }?.release(effect.release)
                }
            is Effect.Execute -> execute(host, effect)
            is Effect.Abandon -> abandon(host, effect)
            is Effect.Answer -> answer(host, effect)
            is Effect.AppendToLog -> if (world.logAnswers(host)) world.append(effect.payload)
            is Effect.StopCompleted -> world.stopCompleted(host)
        }
    }

    private fun sendToPeer(
        host: SchedulerHost,
        effect: Effect.SendToPeer,
    ) {
        val receiver = world.hosts.first { it.id == effect.to }
        network.send(host.name, receiver.name, copies = true) {
            receiver.run(receiver.process) { receiver.step(Event.PeerMessageReceived(host.id, effect.message)) }
        }
    }

    private fun requestLease(
        host: SchedulerHost,
        effect: Effect.RequestLease,
    ) {
        val upstream = world.upstream(effect.upstream)
        val process = host.process
        val unanswered = {
            timeline.after(LEASE_CALL_TIMEOUT_MICROS) {
                host.run(process) { host.step(Event.LeaseUnanswered(effect.upstream, effect.sentAt)) }
            }
        }
        network.send(host.name, upstream.id.value, onLost = unanswered) {
            if (!upstream.alive) {
                unanswered()
            } else {
                val reply = upstream.lease(effect.request)
                network.send(upstream.id.value, host.name, onLost = unanswered) {
                    host.run(process) { host.step(Event.LeaseAnswered(effect.upstream, effect.sentAt, reply)) }
                }
            }
        }
    }

    private fun execute(
        host: SchedulerHost,
        effect: Effect.Execute,
    ) {
        val exchange = host.exchanges[effect.exchange] ?: return
        effect.grants.forEach { exchange.started(it) }
        effect.grants.forEachIndexed { index, grant -> startTask(exchange, grant, streams = index == 0) }
    }

    private fun startTask(
        exchange: Exchange,
        grant: Grant,
        streams: Boolean,
    ) {
        val host = exchange.host
        val upstream = world.upstream(grant.upstream)
        val report = { result: TaskResult -> host.run(exchange.process) { finish(exchange, grant, result, streams) } }
        val lost = { timeline.after(random.nextLong(MAX_LOSS_DETECTION_MICROS)) { report(TaskResult.LOST) } }
        val node = upstream.id.value
        val cut = network.isCut(host.name, node) || network.isCut(node, host.name)
        // A new connection cannot be opened over a cut; bytes may leave on one that was open before.
        if (!upstream.alive || (cut && random.nextBoolean())) {
            timeline.after(random.nextLong(MAX_LOSS_DETECTION_MICROS)) { report(TaskResult.NOT_RUN) }
            return
        }
        network.send(host.name, node, onLost = lost) {
            val started =
                upstream.start(grant, world.runMicros()) { result ->
                    network.send(node, host.name, onLost = lost) { report(result) }
                }
            if (started) {
                world.checker.started(exchange, grant, upstream)
            } else {
                network.send(node, host.name, onLost = lost) { report(TaskResult.NOT_RUN) }
            }
        }
    }

    /** Reports the end of a task; an answer may take time from its first byte to its last. */
    private fun finish(
        exchange: Exchange,
        grant: Grant,
        result: TaskResult,
        streams: Boolean,
    ) {
        if (exchange.results[grant.task] != null) return
        val partial = result == TaskResult.LOST && random.nextInt(PARTIAL_ONE_IN) == 0
        val starts = streams && exchange.open && (result == TaskResult.ANSWERED || partial)
        if (!starts || random.nextBoolean()) return conclude(exchange, grant, result, starts)
        exchange.streaming = grant.task
        exchange.host.step(Event.AnswerStarted(exchange.id))
        timeline.after(random.nextLong(MAX_STREAM_MICROS)) {
            exchange.host.run(exchange.process) { conclude(exchange, grant, result, starts) }
        }
    }

    private fun conclude(
        exchange: Exchange,
        grant: Grant,
        result: TaskResult,
        answerStarted: Boolean,
    ) {
        if (exchange.results[grant.task] != null) return
        exchange.results[grant.task] = result
        if (answerStarted && exchange.open) {
            exchange.ending = if (result == TaskResult.ANSWERED) Ending.ANSWERED else Ending.BROKEN_OFF
            world.ended(exchange)
        }
        exchange.host.step(Event.TaskFinished(exchange.id, grant.task, result, answerStarted))
    }

    private fun abandon(
        host: SchedulerHost,
        effect: Effect.Abandon,
    ) {
        val exchange = host.exchanges[effect.exchange] ?: return
        exchange.results.filterValues { it == null }.keys.forEach { task ->
            val grant = exchange.grants.getValue(task)
            val node = grant.upstream.value
            network.send(host.name, node) { world.upstream(grant.upstream).stop(task) }
            timeline.after(random.nextLong(MAX_CLOSE_MICROS)) {
                host.run(exchange.process) { conclude(exchange, grant, TaskResult.STOPPED, exchange.streaming == task) }
            }
        }
    }

    private fun answer(
        host: SchedulerHost,
        effect: Effect.Answer,
    ) {
        val exchange = host.exchanges[effect.exchange]?.takeIf { it.open } ?: return
        exchange.ending = if (effect.outcome is Outcome.Refused) Ending.REFUSED else Ending.UNKNOWN
        world.ended(exchange)
    }

    private companion object {
        const val LEASE_CALL_TIMEOUT_MICROS = 1_000_000L
        const val MAX_LOSS_DETECTION_MICROS = 2_000_000L
        const val MAX_STREAM_MICROS = 300_000L
        const val MAX_CLOSE_MICROS = 5_000L
        const val PARTIAL_ONE_IN = 10
    }
}
