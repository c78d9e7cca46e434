package org.anvilbarrow.kernel.proof

private val NAMES = Regex("""\b(req\d+|u\d+)\b""")
private const val LAST_LINES = 60

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
