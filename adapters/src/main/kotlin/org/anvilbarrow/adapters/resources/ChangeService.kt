package org.anvilbarrow.adapters.resources

import org.anvilbarrow.adapters.platform.AppendCallResult
import org.anvilbarrow.adapters.platform.LogClient
import org.anvilbarrow.adapters.platform.VmListClient
import org.anvilbarrow.kernel.catalog.Catalog
import org.anvilbarrow.kernel.catalog.CatalogPayloads
import org.anvilbarrow.kernel.catalog.CatalogSnapshots
import org.anvilbarrow.kernel.catalog.ResourceKind
import org.anvilbarrow.kernel.catalog.SpecError
import org.anvilbarrow.kernel.catalog.SpecErrorCode
import org.anvilbarrow.kernel.catalog.SpecValidation
import org.anvilbarrow.kernel.catalog.ValidationContext
import org.anvilbarrow.kernel.catalog.find
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import java.time.Instant
import java.time.InstantSource

/** A change of one object: its new content, or null to delete it. */
public data class ChangeRequest(
    val changeId: String,
    val kind: ResourceKind,
    val name: String,
    val spec: ResourceSpec?,
    /** The version that the object must have; 0 if it must not exist, null for any. */
    val expectedVersion: Long? = null,
)

/**
 * Writes changes to the log and answers when they were read back.
 *
 * A change id makes a change safe to ask for again: it takes effect once, whichever scheduler is asked.
 */
public class ChangeService(
    private val log: LogClient,
    private val vmList: VmListClient,
    private val view: CatalogView,
    private val clock: InstantSource,
    private val limits: ResourceLimits = ResourceLimits(),
    private val placementPolicies: Set<String> = emptySet(),
    /** Told of an upstream that is about to be drained, so that new work on it stops before the log is read. */
    private val onDrain: (UpstreamId) -> Unit = {},
) {
    /** Makes [change]; blocks until its outcome is known or [ResourceLimits.readBack] has passed. */
    public fun change(change: ChangeRequest): ChangeResult =
        change(change.changeId, change.kind, change.name) { change }

    /** Marks the upstream called [name] as draining, or as no longer draining. */
    public fun drain(
        changeId: String,
        name: String,
        draining: Boolean,
    ): ChangeResult =
        change(changeId, ResourceKind.UPSTREAM, name) { catalog ->
            val upstream = catalog.find(ResourceKind.UPSTREAM, name)
            val spec = (upstream?.spec as? UpstreamSpec)?.copy(draining = draining)
            if (draining && spec != null) onDrain(UpstreamId(name))
            ChangeRequest(changeId, ResourceKind.UPSTREAM, name, spec, upstream?.version)
        }

    private fun change(
        changeId: String,
        kind: ResourceKind,
        name: String,
        request: (Catalog) -> ChangeRequest,
    ): ChangeResult {
        val (catalog, unreachable) = view.readNow()
        if (unreachable != null) return refused("the log does not answer: $unreachable")
        if (!catalog.current) return refused("the catalog is not current yet")
        outcome(changeId, kind, name, catalog)?.let { return it }
        val change = pinned(request(catalog), catalog)
        val version = catalog.find(kind, name)?.version
        val expected = change.expectedVersion
        return when {
            change.spec == null && version == null -> ChangeResult.NotFound
            expected != null && expected != (version ?: 0L) -> ChangeResult.Conflict(version)
            else -> validated(change, catalog)
        }
    }

    /**
     * A shard is checked against its anchors before, so the change must not apply to any other version of it.
     *
     * An object whose version is offset 0 cannot be named by a condition, as 0 stands for one that does not exist.
     */
    private fun pinned(
        change: ChangeRequest,
        catalog: Catalog,
    ): ChangeRequest {
        val version = catalog.find(change.kind, change.name)?.version
        return if (change.kind == ResourceKind.SHARD && change.expectedVersion == null) {
            change.copy(expectedVersion = version ?: 0)
        } else {
            change
        }
    }

    private fun validated(
        change: ChangeRequest,
        catalog: Catalog,
    ): ChangeResult {
        val errors = validate(change, catalog)
        return when {
            errors.isEmpty() -> write(change, catalog)
            errors.all { it.code == SpecErrorCode.VM_LIST_UNKNOWN } -> refused("the VM list cannot be read")
            else -> ChangeResult.Invalid(errors)
        }
    }

    private fun validate(
        change: ChangeRequest,
        catalog: Catalog,
    ): List<SpecError> {
        val spec = change.spec ?: return SpecValidation.validateDelete(change.kind, change.name, catalog)
        val vms = if (change.kind == ResourceKind.SHARD) vmList.list() else null
        val context = ValidationContext(catalog, vms, placementPolicies = placementPolicies)
        return SpecValidation.validatePut(change.name, spec, context)
    }

    private fun write(
        change: ChangeRequest,
        catalog: Catalog,
    ): ChangeResult {
        val record =
            CatalogPayload.ResourceChange(
                change.changeId,
                change.kind.label,
                change.name,
                change.spec,
                change.expectedVersion,
            )
        val payloads = firstRecords(catalog) + CatalogPayloads.encode(record)
        val halfway = clock.instant() + limits.readBack.dividedBy(2)
        val first = log.append(payloads)
        if (first is AppendCallResult.NotAppended) return refused("the log did not accept the change: ${first.detail}")
        awaitOutcome(change, halfway)?.let { return it }
        // The append may have been lost; a second record with the same change id does no harm.
        log.append(payloads)
        return awaitOutcome(change, halfway + limits.readBack.dividedBy(2))
            ?: ChangeResult.Unknown(change.changeId, "the change was not read back within ${limits.readBack.seconds} s")
    }

    /** The record at offset 0 must not be an object: its version could not be told from one that does not exist. */
    private fun firstRecords(catalog: Catalog): List<String> =
        if (catalog.appliedOffset == 0L) {
            CatalogSnapshots.write(catalog, "first").map(CatalogPayloads::encode)
        } else {
            emptyList()
        }

    private fun awaitOutcome(
        change: ChangeRequest,
        until: Instant,
    ): ChangeResult? {
        while (true) {
            val catalog = view.refreshed().catalog
            outcome(change.changeId, change.kind, change.name, catalog)?.let { return it }
            if (clock.instant() >= until) return null
            view.awaitPoll()
        }
    }

    private fun outcome(
        changeId: String,
        kind: ResourceKind,
        name: String,
        catalog: Catalog,
    ): ChangeResult? {
        val seen = catalog.recentChanges[changeId] ?: return null
        return if (seen.accepted) {
            ChangeResult.Accepted(seen.offset)
        } else {
            ChangeResult.Conflict(catalog.find(kind, name)?.version)
        }
    }

    private fun refused(detail: String) = ChangeResult.Refused(limits.retryAfter, detail)
}
