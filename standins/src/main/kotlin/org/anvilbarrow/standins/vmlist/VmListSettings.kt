package org.anvilbarrow.standins.vmlist

import org.anvilbarrow.protocol.log.VmEntry
import java.time.Duration

/** Lag and first content of the VM list. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class VmListSettings(
    /** How long a change of a VM's state takes to show in the list. */
    val lag: Duration = Duration.ofSeconds(10),
    /** VMs that the list shows from the start. */
    val vms: List<VmEntry> = emptyList(),
)
