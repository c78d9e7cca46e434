package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.UpstreamId

/**
 * Rules for the anchors of a shard.
 *
 * Whatever two catalogs two schedulers hold, a majority of the anchors in one that can still grant leases must overlap
 * with a majority of the anchors in the other. This needs three things: an anchor is removed only after its VM left the
 * VM list; the number of anchors never grows, except from none; and an anchor is added only while its VM is on the
 * list, as otherwise a VM that the list does not show yet would look like one that left.
 */
internal class ShardRules(
    private val id: ShardId,
    private val context: ValidationContext,
) {
    private val catalog = context.catalog
    private val before = catalog.shards[id]?.spec

    fun check(spec: ShardSpec): List<SpecError> =
        checkName("region", spec.region) +
            checkRegion(spec.region) +
            checkCount(spec.anchors) +
            spec.anchors.flatMap(::checkMember) +
            checkChange(spec.anchors)

    private fun checkRegion(region: String): List<SpecError> {
        val known = context.regions.isEmpty() || region in context.regions
        val unchanged =
            before == null || before.region == region || catalog.upstreams.none { it.value.spec.shard == id }
        return checkReference("region", region, known, "one of ${context.regions.sorted()}") +
            errorUnless(
                unchanged,
                SpecErrorCode.IN_USE,
                "region",
                region,
                "${before?.region} while the shard has upstreams or is a home shard",
            )
    }

    private fun checkCount(anchors: List<UpstreamId>): List<SpecError> {
        val counts = SpecLimits.ANCHOR_COUNTS
        val earlier = before?.anchors.orEmpty().size
        return anchorsUnless(anchors.size in counts, anchors.size, "one of the numbers $counts") +
            anchorsUnless(anchors.distinct().size == anchors.size, anchors, "distinct upstreams") +
            anchorsUnless(earlier == 0 || anchors.size <= earlier, anchors.size, "at most $earlier, as before")
    }

    private fun checkMember(anchor: UpstreamId): List<SpecError> {
        val shard = catalog.upstreams[anchor]?.spec?.shard
        val member = shard == id
        return checkReference("anchors", anchor.value, member, "an upstream of shard $id, not of $shard")
    }

    private fun checkChange(anchors: List<UpstreamId>): List<SpecError> {
        val removed = before?.anchors.orEmpty() - anchors.toSet()
        val added = anchors - before?.anchors.orEmpty().toSet()
        if (removed.isEmpty() && added.isEmpty()) return emptyList()
        if (context.vms == null) {
            val limit = "compared with the VM list, which cannot be read now"
            return errorUnless(false, SpecErrorCode.VM_LIST_UNKNOWN, "anchors", anchors, limit)
        }
        return removed.flatMap { anchor ->
            anchorsUnless(
                !context.isListed(anchor.value),
                "without $anchor",
                "with $anchor until its VM left the VM list",
            )
        } +
            added.flatMap { anchor ->
                anchorsUnless(context.isLive(anchor.value), anchor, "upstreams whose VM is live on the VM list")
            }
    }

    private fun anchorsUnless(
        valid: Boolean,
        value: Any,
        limit: String,
    ) = errorUnless(valid, SpecErrorCode.ANCHORS, "anchors", value, limit)
}
