package org.anvilbarrow.protocol.model

import kotlinx.serialization.Serializable

/** A caller's request without its body, which stays at the scheduler that received it. */
@Serializable
public data class WorkRequest(
    val id: RequestId,
    val workload: String,
    val issuedAtEpochMillis: Long,
    val deadlineEpochMillis: Long,
    /** True if the caller states that it has sent no other copy of this id. */
    val firstAttempt: Boolean = false,
    /** Size of the body, which is paid for if the request runs in another region. */
    val bodyBytes: Long = 0,
    /** W3C trace context of the caller's span, or null. */
    val traceparent: String? = null,
)
