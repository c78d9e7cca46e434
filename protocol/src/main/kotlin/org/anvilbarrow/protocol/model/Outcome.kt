package org.anvilbarrow.protocol.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a request was refused without having run. */
@Serializable
public enum class RefusalReason {
    @SerialName("deadline_passed")
    DEADLINE_PASSED,

    @SerialName("deadline_unreachable")
    DEADLINE_UNREACHABLE,

    @SerialName("queue_full")
    QUEUE_FULL,

    @SerialName("unknown_workload")
    UNKNOWN_WORKLOAD,

    @SerialName("never_fits")
    NEVER_FITS,

    @SerialName("issued_in_future")
    ISSUED_IN_FUTURE,

    @SerialName("not_ready")
    NOT_READY,

    @SerialName("stopping")
    STOPPING,

    @SerialName("no_home")
    NO_HOME,

    @SerialName("not_home")
    NOT_HOME,

    @SerialName("cancelled")
    CANCELLED,

    @SerialName("upstream_refused")
    UPSTREAM_REFUSED,
}

/** Why it is not known whether a request ran. */
@Serializable
public enum class UnknownReason {
    @SerialName("duplicate")
    DUPLICATE,

    @SerialName("memory_lost")
    MEMORY_LOST,

    @SerialName("issued_too_long_ago")
    ISSUED_TOO_LONG_AGO,

    @SerialName("home_not_asked")
    HOME_NOT_ASKED,

    @SerialName("home_unreachable")
    HOME_UNREACHABLE,

    @SerialName("connection_lost")
    CONNECTION_LOST,

    @SerialName("deadline_passed")
    DEADLINE_PASSED,

    @SerialName("task_failed")
    TASK_FAILED,
}

/** The one final outcome of a request that did not produce an answer body. */
@Serializable
public sealed interface Outcome {
    /** The request did not run. [retryAfterMillis] says when to come back, or null if coming back cannot help. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long? = null,
        val detail: String = "",
    ) : Outcome

    /** The request may have run. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(
        val reason: UnknownReason,
        val retryAfterMillis: Long? = null,
        val detail: String = "",
    ) : Outcome
}
