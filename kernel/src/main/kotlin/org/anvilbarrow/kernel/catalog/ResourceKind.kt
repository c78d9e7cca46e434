package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.WorkloadSpec

/** The kinds of declared objects. */
public enum class ResourceKind(
    /** Name in log records and messages. */
    public val label: String,
    /** Name in paths of the resource interface. */
    public val plural: String,
) {
    TEAM("team", "teams"),
    REGION("region", "regions"),
    SHARD("shard", "shards"),
    UPSTREAM("upstream", "upstreams"),
    WORKLOAD("workload", "workloads"),
    ;

    public companion object {
        /** Returns the kind with this [label], or null. */
        public fun ofLabel(label: String): ResourceKind? = entries.firstOrNull { it.label == label }

        /** Returns the kind with this [plural] name, or null. */
        public fun ofPlural(plural: String): ResourceKind? = entries.firstOrNull { it.plural == plural }

        /** Returns the kind that [spec] declares. */
        public fun of(spec: ResourceSpec): ResourceKind =
            when (spec) {
                is WorkloadSpec -> WORKLOAD
                is UpstreamSpec -> UPSTREAM
                is ShardSpec -> SHARD
                is TeamSpec -> TEAM
                is RegionSpec -> REGION
            }
    }
}
