package org.anvilbarrow.standins.vmlist

import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import org.anvilbarrow.standins.ManualClock
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import java.time.Duration

internal class VmListModelTest {
    private val clock = ManualClock()
    private val live = listOf(VmEntry("vm-1", VmState.LIVE), VmEntry("vm-2", VmState.LIVE))
    private val list = VmListModel(VmListSettings(lag = Duration.ofSeconds(5), vms = live), clock)

    /** Schedulers must be tested against a list that is out of date. */
    @Test
    fun `shows a change after the lag`() {
        list.set("vm-1", VmState.LEAVING)
        clock.advanceMillis(1_000)
        list.set("vm-2", null)
        clock.advanceMillis(3_999)
        expectThat(list.list()).containsExactly(live)
        clock.advanceMillis(1)
        expectThat(list.list()).containsExactly(VmEntry("vm-1", VmState.LEAVING), VmEntry("vm-2", VmState.LIVE))
        clock.advanceMillis(1_000)
        expectThat(list.list()).containsExactly(VmEntry("vm-1", VmState.LEAVING))
    }
}
