package org.anvilbarrow.kernel.jobs

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.getValue
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.time.Duration

/** What callers get at 0.84 of the processors, with bursts of urgent jobs and of gangs. */
class MixedLoadTest {
    private val second = Duration.ofSeconds(1)

    private fun play(
        seed: Long,
        limits: CellLimits,
    ): Map<String, Double> {
        val load =
            MixedLoad(
                KINDS,
                listOf(
                    Burst("urgent", second.multipliedBy(6), second.multipliedBy(10), factor = 2.2),
                    Burst("gang", second.multipliedBy(18), second.multipliedBy(22), factor = 1.7),
                ),
                workers = 64,
                goodShare = 0.35,
                advice = AdviceTerms(Duration.ofMillis(60), Duration.ofMillis(1), Duration.ofMillis(1_500)),
                seed = seed,
                limits = limits,
            )
        return load.play(second.multipliedBy(34)).also { expectThat(load.world.violations).isEmpty() }
    }

    /** Guards against urgent jobs and batches that pay for the order in which the others are served. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `urgent jobs and patient batches meet their objectives through bursts`(seed: Long) {
        val inTime = play(seed, CellLimits())
        expectThat(inTime).getValue("urgent").isGreaterThan(0.95)
        expectThat(inTime).getValue("batch").isGreaterThan(0.99)
    }

    /** Guards against batches with seconds to spare that take the room gangs wait for, piece by piece. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2])
    fun `gangs are served better if patient batches leave them room`(seed: Long) {
        val without = play(seed, CellLimits(patience = Duration.ofDays(1)))
        val with = play(seed, CellLimits())
        expectThat(with).getValue("gang").isGreaterThan(without.getValue("gang"))
    }

    private companion object {
        val KINDS =
            listOf(
                JobKind(
                    queue("urgent", priority = 0, stretch = 1.5, target = Duration.ofMillis(600)),
                    perSecond = 18.0,
                    tasks = 2.6,
                    cores = 16.0,
                    memoryMebibytes = 58_000.0,
                    millis = 640.0,
                ),
                JobKind(
                    queue("batch", priority = 2, stretch = 4.0, target = Duration.ofSeconds(3)),
                    perSecond = 2.96,
                    tasks = 14.0,
                    cores = 11.0,
                    memoryMebibytes = 31_000.0,
                    millis = 2_700.0,
                ),
                JobKind(
                    queue("gang", priority = 1, stretch = 2.2, target = Duration.ofMillis(2_800)),
                    perSecond = 1.15,
                    tasks = 13.0,
                    cores = 18.0,
                    memoryMebibytes = 68_000.0,
                    millis = 6_200.0,
                    gang = true,
                ),
            )
    }
}
