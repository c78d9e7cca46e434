package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.core.Effect

private val NAMES = Regex("""\b(req\d+|u\d+)\b""")
private const val LAST_LINES = 60

private const val PAST_LEASE_MILLIS = 4_000L
private const val PAUSE_INTERVAL_MILLIS = 5_000L

/** Pauses each scheduler of [world] once past its lease, one after the other, just as it has tasks to start. */
internal fun pauseWhenExecuting(world: World) {
    val paused = HashSet<SchedulerHost>()
    world.onEffect = { host, effect ->
        val nextAt = millis(World.LOAD_START_MILLIS + 1_000 + paused.size * PAUSE_INTERVAL_MILLIS)
        if (effect is Effect.Execute && world.timeline.nowMicros > nextAt && paused.add(host)) {
            host.pause(millis(PAST_LEASE_MILLIS))
        }
    }
}

/** Runs [world] and fails with the plan, the violation and the lines of the trace that name its parts. */
internal fun expectNoViolation(world: World) {
    val violation = world.run().firstOrNull() ?: return
    val names =
        NAMES.findAll(violation.detail).map { it.value }.toList() + listOf("FLT", "pauses", "resumes", "process \\d+")
    val lines =
        world.trace
            .render(names)
            .lines()
            .takeLast(LAST_LINES)
    throw AssertionError("$violation\n${world.plan}\n${lines.joinToString("\n")}")
}
