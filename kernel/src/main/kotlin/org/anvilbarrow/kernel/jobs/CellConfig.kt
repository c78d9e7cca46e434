package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** What a queue promises its callers and demands of upstreams. */
public data class QueueConfig(
    val name: String,
    /** Host name by which callers address the queue. */
    val host: String,
    /** Start of the path by which callers address the queue. */
    val pathPrefix: String,
    /** Pool of upstreams that run the queue's tasks. */
    val pool: String,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Failed runs after which a task is given up. */
    val maxAttempts: Int,
    /** Factor on the run time of a job in its latency objective. */
    val stretch: Double,
    /** Constant part of the latency objective. */
    val targetDuration: Duration,
    /** Terms of the advice service, or null if tasks of the queue may run anywhere in the pool. */
    val advice: AdviceTerms? = null,
)

/** Cost and validity of a call for advice. */
public data class AdviceTerms(
    val decision: Duration,
    val perUpstream: Duration,
    /** How long a ticket is accepted by its upstream. */
    val validity: Duration,
) {
    /** Returns how long the service needs to advise on [upstreams]. */
    public fun cost(upstreams: Int): Duration = decision.plus(perUpstream.multipliedBy(upstreams.toLong()))
}

/** One version of the operators' configuration. */
public data class CellConfig(
    val version: Long,
    val queues: ImmutableMap<String, QueueConfig> = persistentMapOf(),
)

/** An upstream as the platform lists it. */
public data class UpstreamEntry(
    val id: UpstreamId,
    /** Address of its interface, as `host:port`. */
    val address: String,
    val pool: String,
    val failureDomain: String,
    val region: String,
    val capacity: Resources,
    val labels: ImmutableSet<String> = persistentSetOf(),
    /** Label that names its rack, or null. */
    val rack: String? = null,
    /** Shortest time after which the upstream leaves, or null if it has not announced that it leaves. */
    val leavesIn: Duration? = null,
) {
    /** True once the upstream has announced that it leaves. */
    val draining: Boolean get() = leavesIn != null
}

/** What the owner of a shard read from the store at its claim. */
public data class LoadedShard(
    val jobs: ImmutableList<LoadedJob> = persistentListOf(),
    val usedUpstreams: ImmutableList<UsedUpstreamRecord> = persistentListOf(),
    /** Groups of finished jobs by number. */
    val finished: ImmutableMap<Long, FinishedJobsRecord> = persistentMapOf(),
    /** True if no earlier owner can give or renew leases any more. */
    val earlierOwnersEnded: Boolean = false,
)

/** One stored job. */
public data class LoadedJob(
    val id: JobId,
    val submission: SubmissionRecord,
    val progress: ProgressRecord?,
)
