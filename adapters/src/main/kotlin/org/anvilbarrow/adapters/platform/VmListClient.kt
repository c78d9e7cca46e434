package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.log.VmEntry

/** Reads the platform's list of VMs; the call blocks. */
public fun interface VmListClient {
    /** Returns the list, or null if it cannot be read now. */
    public fun list(): List<VmEntry>?
}
