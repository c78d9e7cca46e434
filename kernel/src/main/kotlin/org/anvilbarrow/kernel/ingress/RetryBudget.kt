package org.anvilbarrow.kernel.ingress

/** Limits second executions to a share of all requests, so that retries cannot multiply an overload. */
internal data class RetryBudget(
    private val tokens: Double = MAX_TOKENS,
) {
    val allowsRetry: Boolean get() = tokens >= 1.0

    fun earn(ratio: Double): RetryBudget = RetryBudget(minOf(MAX_TOKENS, tokens + ratio))

    fun spend(): RetryBudget = RetryBudget(tokens - 1.0)

    private companion object {
        const val MAX_TOKENS = 10.0
    }
}
