package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.kernel.core.Event
import org.anvilbarrow.kernel.core.Turn
import org.anvilbarrow.kernel.home.HomeOffices
import org.anvilbarrow.kernel.membership.Membership
import org.anvilbarrow.protocol.model.UpstreamId

/** Keeps the scheduler's catalog up to date with the log. */
internal object CatalogReader {
    fun onLogRead(
        turn: Turn,
        read: Event.LogRead,
    ) {
        CatalogSync.onLogAnswer(turn, LogExtent(read.firstRetainedOffset, read.endOffset))
        val applied = CatalogFold.apply(turn.state.catalog, read.records).catalog
        use(turn, CatalogFold.markCurrent(applied, read.endOffset))
    }

    fun onCompacted(
        turn: Turn,
        firstRetainedOffset: Long,
    ) = use(turn, CatalogFold.restartAt(turn.state.catalog, firstRetainedOffset))

    /** Goes on with [catalog]. */
    fun use(
        turn: Turn,
        catalog: Catalog,
    ) {
        val before = turn.state.catalog
        if (catalog == before) return
        turn.state = turn.state.copy(catalog = catalog)
        Membership.forgetNotices(turn, changedUpstreams(before, catalog))
        Membership.refreshIntendedOwners(turn)
        catalog.shards.keys.forEach { HomeOffices.refresh(turn, it) }
        turn.dispatchNeeded = true
    }

    private fun changedUpstreams(
        before: Catalog,
        after: Catalog,
    ): Set<UpstreamId> =
        if (before.upstreams === after.upstreams) {
            emptySet()
        } else {
            after.upstreams
                .filter { (upstream, declared) -> before.upstreams[upstream] != declared }
                .keys
        }
}
