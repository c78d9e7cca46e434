package org.anvilbarrow.kernel.ingress

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.anvilbarrow.kernel.core.DueTimes
import org.anvilbarrow.protocol.model.ExchangeId

/** What a scheduler keeps for the callers that sent their requests to it. */
internal data class IngressState(
    val exchanges: PersistentMap<ExchangeId, Exchange> = persistentMapOf(),
    val checks: DueTimes<ExchangeId>,
    val retryBudget: RetryBudget = RetryBudget(),
)
