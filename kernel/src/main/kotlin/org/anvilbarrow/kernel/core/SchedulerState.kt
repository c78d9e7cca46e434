package org.anvilbarrow.kernel.core

import org.anvilbarrow.kernel.catalog.Catalog

/** Everything one scheduler knows; owned by the control thread. */
public data class SchedulerState(
    val self: SchedulerIdentity,
    val catalog: Catalog = Catalog(),
)
