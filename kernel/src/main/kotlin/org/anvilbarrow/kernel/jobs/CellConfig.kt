package org.anvilbarrow.kernel.jobs

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.anvilbarrow.kernel.workspaces.WorkspaceDirectory
import org.anvilbarrow.protocol.jobs.CrashRecord
import org.anvilbarrow.protocol.jobs.FinishedJobsRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.SubmissionRecord
import org.anvilbarrow.protocol.jobs.UsedUpstreamRecord
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration

/** Configuration of a queue: its addresses, its pool and its service objectives. */
public data class QueueConfig(
    val name: String,
    /** Host name under which callers reach the queue. */
    val host: String,
    /** Path prefix under which callers reach the queue. */
    val pathPrefix: String,
    /** Pool of upstreams that run the queue's tasks. */
    val pool: String,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Number of failed runs after which a task fails for good. */
    val maxAttempts: Int,
    /** Factor of the run time of a job in its latency objective. */
    val stretch: Double,
    /** Constant part of the latency objective. */
    val targetDuration: Duration,
    /** Terms of the advice service, or null if tasks of the queue may run on any upstream of the pool. */
    val advice: AdviceTerms? = null,
    /** True if callers need no API key. */
    val isPublic: Boolean = false,
)

/** Duration of a call to the advice service, and validity of its tickets. */
public data class AdviceTerms(
    /** Constant part of the duration. */
    val decision: Duration,
    /** Duration per named upstream. */
    val perUpstream: Duration,
    /** How long an upstream accepts a ticket. */
    val validity: Duration,
) {
    /** Returns the duration of a call that names [upstreams] upstreams. */
    public fun cost(upstreams: Int): Duration = decision.plus(perUpstream.multipliedBy(upstreams.toLong()))
}

/** One version of the configuration set by operators. */
public data class CellConfig(
    val version: Long,
    val queues: ImmutableMap<String, QueueConfig> = persistentMapOf(),
    /** Workspaces that callers belong to, or null if no queue needs an API key. */
    val workspaces: WorkspaceDirectory? = null,
)

/** An upstream as the platform lists it. */
public data class UpstreamEntry(
    val id: UpstreamId,
    /** Address of its API, as `host:port`. */
    val address: String,
    val pool: String,
    val failureDomain: String,
    val region: String,
    val capacity: Resources,
    val labels: ImmutableSet<String> = persistentSetOf(),
    /** Label that identifies its rack, or null. */
    val rack: String? = null,
    /** Minimum time until the upstream leaves, or null if it has not announced that. */
    val leavesIn: Duration? = null,
) {
    /** True once the upstream has announced that it will leave. */
    val draining: Boolean get() = leavesIn != null
}

/** Contents of a shard in the store when its owner claimed it. */
public data class LoadedShard(
    val jobs: ImmutableList<LoadedJob> = persistentListOf(),
    val usedUpstreams: ImmutableList<UsedUpstreamRecord> = persistentListOf(),
    /** Groups of finished jobs by number. */
    val finished: ImmutableMap<Long, FinishedJobsRecord> = persistentMapOf(),
    /** True if no earlier owner can grant or renew leases any more. */
    val earlierOwnersEnded: Boolean = false,
    /** Keys of records of jobs that do not exist or have ended. */
    val orphanedKeys: ImmutableList<String> = persistentListOf(),
)

public data class LoadedJob(
    val id: JobId,
    val submission: SubmissionRecord,
    val progress: ProgressRecord?,
    val crashes: CrashRecord? = null,
    /** Number of records from which [progress] and [crashes] were put together. */
    val progressParts: Int = 0,
    val crashParts: Int = 0,
)
