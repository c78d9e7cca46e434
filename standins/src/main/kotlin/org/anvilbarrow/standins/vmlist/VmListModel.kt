package org.anvilbarrow.standins.vmlist

import org.anvilbarrow.protocol.log.VmEntry
import org.anvilbarrow.protocol.log.VmState
import java.time.Instant
import java.time.InstantSource

/**
 * A list of VMs that shows every change [VmListSettings.lag] after it was made, without HTTP. Thread-safe.
 *
 * A VM that is set again after it left stands for a new incarnation (assumption A4 of the design page).
 */
public class VmListModel(
    private val settings: VmListSettings,
    private val clock: InstantSource,
) {
    private val shown = sortedMapOf<String, VmState>()
    private val changes = ArrayDeque<Change>()

    init {
        settings.vms.forEach { shown[it.name] = it.state }
    }

    /** Changes the state of the VM [name]; null means that it left. */
    @Synchronized
    public fun set(
        name: String,
        state: VmState?,
    ) {
        changes.addLast(Change(clock.instant(), name, state))
    }

    /** Returns the VMs as they were one lag ago, by name. */
    @Synchronized
    public fun list(): List<VmEntry> {
        val shownUntil = clock.instant() - settings.lag
        while (changes.isNotEmpty() && changes.first().madeAt <= shownUntil) {
            val change = changes.removeFirst()
            if (change.state == null) shown.remove(change.name) else shown[change.name] = change.state
        }
        return shown.map { (name, state) -> VmEntry(name, state) }
    }

    private data class Change(
        val madeAt: Instant,
        val name: String,
        val state: VmState?,
    )
}
