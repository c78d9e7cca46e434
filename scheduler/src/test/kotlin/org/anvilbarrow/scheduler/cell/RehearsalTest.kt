package org.anvilbarrow.scheduler.cell

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

/** Two processes over real connections: a fault anywhere on the path of a job leaves jobs that are not completed. */
class RehearsalTest {
    @Test
    fun `jobs handed in at both processes are completed`() {
        val completed = Rehearsal(::platformPorts).use { it.run(jobs = 10, timeout = Duration.ofSeconds(60)) }
        expectThat(completed).isEqualTo(10)
    }
}
