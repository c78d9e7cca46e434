package org.anvilbarrow.adapters.http

import kotlinx.serialization.Serializable

/** JSON body of an answer to a request that got an outcome instead of an upstream's answer. */
@Serializable
public data class OutcomeBody(
    /** `refused` or `unknown`. */
    val outcome: String,
    val reason: String,
    /** False: the request did not run and will not. Null: it may have run. */
    val ran: Boolean?,
    /** When to come back, or null if coming back cannot help. */
    val retryAfterMillis: Long?,
    val detail: String,
)
