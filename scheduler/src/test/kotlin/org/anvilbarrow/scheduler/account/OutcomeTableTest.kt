package org.anvilbarrow.scheduler.account

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.isTrue
import strikt.assertions.none

/** Guards against a late job counted under a minor cause, and against log lines that break the table. */
class OutcomeTableTest {
    private fun line(detail: String) =
        "12:00:00 INFO anvilbarrow.cell: event=job-ended subject=00000000000000aa detail=\"$detail\""

    private fun detail(
        took: Int,
        room: Int,
        store: Int,
        repeats: Int = 0,
        phase: String = "COMPLETED",
    ) = "queue=q phase=$phase core_ms=800 took_ms=$took objective_ms=1000 earlier_ms=0 store_ms=$store advice_ms=5 " +
        "room_ms=$room beyond_ms=${if (repeats > 0) took else 0} work_ms=100 repeats=$repeats"

    @ParameterizedTest
    @CsvSource(
        "900, 700, 50, 0, COMPLETED, in time",
        "1900, 1700, 50, 0, COMPLETED, late: room",
        "1900, 50, 1700, 0, COMPLETED, late: store",
        "1900, 50, 60, 2, COMPLETED, late: runs repeated",
        "1900, 1700, 50, 0, CANCELLED, cancelled",
    )
    fun `a job counts under its outcome and main cause`(
        took: Int,
        room: Int,
        store: Int,
        repeats: Int,
        phase: String,
        outcome: String,
    ) {
        val table = OutcomeTable()
        table.read(line(detail(took, room, store, repeats, phase)))
        val row = Regex("""q\s+$outcome\s+1\s+100\.0%""")
        expectThat(table.text().lines()).any { get { row.containsMatchIn(this) }.isTrue() }
    }

    @ParameterizedTest
    @CsvSource("queue=q phase=COMPLETED", "queue=q phase=LOST core_ms=x", "''")
    fun `a detail that cannot be parsed is ignored`(detail: String) {
        val table = OutcomeTable()
        table.read(line(detail))
        table.read("no event at all")
        expectThat(table.text().lines()).none { get { startsWith("q ") }.isTrue() }
    }
}
