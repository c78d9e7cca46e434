package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.StepSpec
import org.anvilbarrow.protocol.model.Resources
import java.time.Duration

internal fun queue(
    name: String,
    advice: AdviceTerms? = null,
    priority: Int = 1,
    stretch: Double = 2.0,
    target: Duration = Duration.ofSeconds(1),
) = QueueConfig(name, "host", "/$name/", "pool", priority, 3, stretch, target, advice)

internal fun step(
    tasks: Int,
    cpuMillicores: Int = 4_000,
    millis: Long = 1_000,
    vararg dependsOn: Int,
    gang: Boolean = false,
) = StepSpec(tasks, Resources(cpuMillicores, 1_000), millis, dependsOn.toList(), gang)
