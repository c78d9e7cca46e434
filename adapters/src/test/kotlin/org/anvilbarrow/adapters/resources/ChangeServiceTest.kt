package org.anvilbarrow.adapters.resources

import org.anvilbarrow.kernel.catalog.ResourceKind
import org.anvilbarrow.protocol.model.TeamSpec
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.time.Duration

/** Guards against a change that is answered as accepted and not in force, or in force twice. */
internal class ChangeServiceTest {
    private val clock = FakeClock()
    private val log = FakeLogClient(clock)
    private val service = service()

    private fun service(): ChangeService {
        val view = CatalogView(log, clock, pause = clock::advance)
        return ChangeService(log, { emptyList() }, view, clock)
    }

    private fun put(
        id: String,
        expected: Long? = null,
        weight: Int = 1,
    ) = ChangeRequest(id, ResourceKind.TEAM, "a", TeamSpec(weight = weight), expected)

    @ParameterizedTest
    @EnumSource(names = ["NONE", "ANSWER_LOST", "RECORD_LOST"])
    fun `a change is accepted once whatever the log's answer`(fault: AppendFault) {
        log.faults += fault
        expectThat(service.change(put("c1"))).isEqualTo(ChangeResult.Accepted(1))
        expectThat(service.change(put("c1"))).isEqualTo(ChangeResult.Accepted(1))
        expectThat(service().change(put("c1"))).isEqualTo(ChangeResult.Accepted(1))
        expectThat(log.size).isEqualTo(2)
    }

    @Test
    fun `nothing is written while the log is down or refuses`() {
        log.down = true
        expectThat(service.change(put("c1"))).isA<ChangeResult.Refused>()
        log.down = false
        log.faults += AppendFault.REFUSED
        expectThat(service.change(put("c1"))).isA<ChangeResult.Refused>()
        expectThat(log.size).isEqualTo(0)
    }

    @Test
    fun `a slow log gives an unknown outcome that a second ask resolves`() {
        log.delay = Duration.ofSeconds(7)
        val asked = clock.instant()
        expectThat(service.change(put("c1"))).isA<ChangeResult.Unknown>()
        expectThat(Duration.between(asked, clock.instant())).isLessThanOrEqualTo(Duration.ofSeconds(6))
        clock.advance(Duration.ofSeconds(7))
        expectThat(service.change(put("c1"))).isEqualTo(ChangeResult.Accepted(1))
    }

    @Test
    fun `one of two racing services wins and the other reports the winner's version`() {
        service.change(put("first"))
        val other = service()
        var won: ChangeResult? = null
        log.beforeAppend = { won = other.change(put("c1", expected = 1, weight = 2)) }
        expectThat(service.change(put("c2", expected = 1, weight = 3))).isEqualTo(ChangeResult.Conflict(2))
        expectThat(won).isEqualTo(ChangeResult.Accepted(2))
    }

    @Test
    fun `conditions, deletion and bad specs`() {
        expectThat(service.change(put("c1", expected = 7))).isEqualTo(ChangeResult.Conflict(null))
        expectThat(service.change(put("c2").copy(spec = null))).isEqualTo(ChangeResult.NotFound)
        expectThat(service.change(put("c3", weight = 0))).isA<ChangeResult.Invalid>()
        expectThat(service.change(put("c4", expected = 0))).isEqualTo(ChangeResult.Accepted(1))
        expectThat(service.change(put("c5", expected = 0))).isEqualTo(ChangeResult.Conflict(1))
        expectThat(service.change(put("c6", expected = 1).copy(spec = null))).isEqualTo(ChangeResult.Accepted(2))
        expectThat(service.drain("c7", "nobody", true)).isEqualTo(ChangeResult.NotFound)
    }
}
