package org.anvilbarrow.protocol.upstream

/** HTTP headers of `POST /v1/tasks/{task}`, the instruction to start a task. */
public object TaskHeaders {
    public const val LEASE_EPOCH: String = "Lease-Epoch"
    public const val UPSTREAM_INCARNATION: String = "Upstream-Incarnation"

    /** Last moment, in the upstream's own clock, at which the task may start. */
    public const val START_BY_MILLIS: String = "Start-By-Millis"
    public const val WORKLOAD: String = "Workload"
    public const val REQUEST_ID: String = "Request-Id"

    /** Declared resources as JSON. */
    public const val RESOURCES: String = "Task-Resources"

    /** Present on every refusal; the task did not run. */
    public const val NOT_RUN: String = "Task-Not-Run"
}

/** Why an upstream refused to start a task; value of [TaskHeaders.NOT_RUN]. */
public enum class StartRefusal(
    public val code: String,
) {
    EPOCH_SUPERSEDED("epoch_superseded"),
    LEASE_LAPSED("lease_lapsed"),
    START_BY_PASSED("start_by_passed"),
    OTHER_INCARNATION("other_incarnation"),
    TASK_KNOWN("task_known"),
}
