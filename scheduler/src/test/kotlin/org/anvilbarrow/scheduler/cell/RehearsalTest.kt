package org.anvilbarrow.scheduler.cell

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Duration

/** End-to-end run of two processes over real connections; a fault on the path of a job leaves it uncompleted. */
class RehearsalTest {
    @Test
    fun `jobs submitted to both processes are completed`() {
        val completed = Rehearsal(::platformPorts).use { it.run(jobs = 10, timeout = Duration.ofSeconds(60)) }
        expectThat(completed).isEqualTo(10)
    }
}
