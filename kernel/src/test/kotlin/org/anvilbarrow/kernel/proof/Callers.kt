package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.WorkRequest

/** Callers: send requests, copies of them and cancellations, and see how each exchange ends. */
internal class Callers(
    private val world: World,
) {
    private val random = world.random.split()
    private val exchanges = ArrayList<Exchange>()
    private val probes = HashMap<RequestId, String>()
    private var lastRequest = 0

    /** Exchanges by how they ended; null for those still open. */
    val endings: Map<Ending?, Int>
        get() = exchanges.groupingBy { it.ending }.eachCount()

    /** Returns the exchanges whose copies were sent between two times of the load. */
    fun sentBetween(
        fromMillis: Long,
        toMillis: Long,
    ): List<Exchange> {
        val window = millis(World.LOAD_START_MILLIS + fromMillis) until millis(World.LOAD_START_MILLIS + toMillis)
        return exchanges.filter { it.sentAtMicros in window }
    }

    /** True if nothing about the request itself keeps it from being answered. */
    fun isFair(exchange: Exchange): Boolean {
        val sentAtMillis = SkewedClock.START.toEpochMilli() + exchange.sentAtMicros / MICROS_PER_MILLI
        val request = exchange.request
        return request.firstAttempt &&
            request.issuedAtEpochMillis - sentAtMillis in -SMALL_SKEW_MILLIS..SMALL_SKEW_MILLIS &&
            exchange.ending != Ending.CALLER_GONE &&
            !request.workload.startsWith("huge")
    }

    /** Schedules the load and, after all faults have healed, one probe per scheduler and region. */
    fun schedule() {
        var at = World.LOAD_START_MILLIS
        while (at < World.LOAD_START_MILLIS + World.LOAD_MILLIS) {
            world.timeline.after(millis(at)) { sendCopies() }
            at += 1 + random.nextLong(2 * world.plan.requestIntervalMillis)
        }
        world.timeline.after(millis(World.PROBE_MILLIS)) { probe() }
    }

    fun ended(exchange: Exchange) {
        if (exchange.ending != Ending.ANSWERED) return
        probes.remove(exchange.request.id)
    }

    /** Closes most open connections at once. */
    fun cancelMost() = exchanges.filter { it.open && random.nextInt(CANCEL_WAVE_ONE_IN) != 0 }.forEach(::cancel)

    /** Sends copies of an id, one every [stepMillis]; in the middle of them its issue time is [aheadMillis] ahead. */
    fun sendCopiesAround(
        aheadMillis: Long,
        stepMillis: Long,
    ) {
        val skew = aheadMillis + SPREAD_COPIES / 2 * stepMillis
        val request = request("once-r0", skew, MAX_DEADLINE_MILLIS, first = false)
        repeat(SPREAD_COPIES) { copy ->
            val host = world.hosts[copy % world.hosts.size]
            world.timeline.after(millis(copy * stepMillis)) { send(request, host) }
        }
    }

    private fun sendCopies() {
        val copied = random.nextInt(PERCENT) < world.plan.copiedPercent
        val names =
            world.declared.workloads.keys
                .toList()
        val deadline = random.nextLong(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS)
        val request = request(names[random.nextInt(names.size)], issueSkewMillis(), deadline, first = !copied)
        send(request, world.hosts[random.nextInt(world.hosts.size)])
        if (!copied) return
        repeat(random.nextInt(1, MAX_COPIES)) {
            val delay = if (random.nextBoolean()) 0 else random.nextLong(MAX_COPY_DELAY_MILLIS)
            val target = world.hosts[random.nextInt(world.hosts.size)]
            world.timeline.after(millis(delay)) { send(request, target) }
        }
    }

    /** Callers' clocks are not trusted: some are behind, some ahead by more than the home accepts. */
    private fun issueSkewMillis(): Long =
        when (random.nextInt(SKEW_KINDS)) {
            0 -> random.nextLong(-MAX_BEHIND_MILLIS, 0)
            1 -> random.nextLong(MAX_AHEAD_MILLIS)
            else -> random.nextLong(-SMALL_SKEW_MILLIS, SMALL_SKEW_MILLIS)
        }

    private fun request(
        workload: String,
        skewMillis: Long,
        deadlineMillis: Long,
        first: Boolean,
    ): WorkRequest {
        val now = SkewedClock.START.toEpochMilli() + world.timeline.nowMicros / MICROS_PER_MILLI
        val id = RequestId("req${++lastRequest}")
        return WorkRequest(id, workload, now + skewMillis, now + deadlineMillis, firstAttempt = first)
    }

    private fun send(
        request: WorkRequest,
        host: SchedulerHost,
    ) {
        val sentAt = world.timeline.nowMicros
        val cancelled = random.nextInt(CANCEL_ONE_IN) == 0
        world.timeline.after(random.nextLong(MICROS_PER_MILLI)) {
            host.run(host.process) {
                val exchange = host.accept(request, sentAt)
                if (cancelled) {
                    world.timeline.after(millis(random.nextLong(MAX_CANCEL_MILLIS))) { cancel(exchange) }
                }
            }
        }
    }

    private fun cancel(exchange: Exchange) {
        if (!exchange.open) return
        exchange.ending = Ending.CALLER_GONE
        exchange.host.run(exchange.process) { exchange.host.step(Event.CallerGone(exchange.id)) }
    }

    private fun probe() {
        val regions =
            world.declared.shards.values
                .map { it.region }
                .distinct()
        for (host in world.hosts) {
            for (region in regions) {
                val request = request("once-$region", 0, PROBE_DEADLINE_MILLIS, first = true)
                probes[request.id] = "request ${request.id} to ${host.name} for region $region"
                world.timeline.after(0) { host.run(host.process) { host.accept(request, world.timeline.nowMicros) } }
            }
        }
        world.timeline.after(millis(PROBE_DEADLINE_MILLIS + PROBE_GRACE_MILLIS)) {
            probes.values.forEach { world.checker.stuck("not placed after all faults healed: $it") }
        }
    }

    fun opened(exchange: Exchange) {
        exchanges.add(exchange)
    }

    private companion object {
        const val PERCENT = 100
        const val MAX_COPIES = 4
        const val SPREAD_COPIES = 24
        const val MAX_COPY_DELAY_MILLIS = 1_500L
        const val MIN_DEADLINE_MILLIS = 500L
        const val MAX_DEADLINE_MILLIS = 6_000L
        const val SKEW_KINDS = 10
        const val MAX_BEHIND_MILLIS = 14_000L
        const val MAX_AHEAD_MILLIS = 3_000L
        const val SMALL_SKEW_MILLIS = 100L
        const val CANCEL_ONE_IN = 25
        const val CANCEL_WAVE_ONE_IN = 4
        const val MAX_CANCEL_MILLIS = 800L
        const val PROBE_DEADLINE_MILLIS = 5_000L
        const val PROBE_GRACE_MILLIS = 1_500L
    }
}
