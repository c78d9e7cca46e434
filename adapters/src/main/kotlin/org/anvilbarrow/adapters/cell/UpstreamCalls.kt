package org.anvilbarrow.adapters.cell

import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.kernel.jobs.UpstreamEntry
import org.anvilbarrow.protocol.jobs.KeyedRecord
import org.anvilbarrow.protocol.jobs.StepRef
import org.anvilbarrow.protocol.jobs.Ticket
import org.anvilbarrow.protocol.jobs.UpstreamOrder
import org.anvilbarrow.protocol.jobs.UpstreamReport
import org.anvilbarrow.protocol.model.UpstreamId
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Sends orders to upstreams. */
public fun interface UpstreamCalls {
    /** Sends [order] once; the result never completes exceptionally. */
    public fun send(order: UpstreamOrder): CompletableFuture<UpstreamReport>
}

/** Client of the service that decides which upstreams may run a step. */
public fun interface AdviceService {
    /** Returns tickets for those of [upstreams] that may run [step], or null if the call fails or times out. */
    public fun advise(
        step: StepRef,
        upstreams: List<UpstreamId>,
        timeout: Duration,
    ): CompletableFuture<List<Ticket>?>
}

/** Topics of the platform and the decoding of their records. */
public interface PlatformCatalog {
    /** Topic of the operators' configuration; has a single partition, 0. */
    public val operatorTopic: String

    /** Topic of the upstreams; has a single partition, 0. */
    public val upstreamTopic: String

    /** True if [record] is meant to hold a configuration, valid or not. */
    public fun isConfig(record: KeyedRecord): Boolean

    /** Decodes a configuration, or returns null if [record] does not hold a valid one. */
    public fun config(record: KeyedRecord): CellConfig?

    /** Decodes an upstream, or returns null if [record] does not hold a usable one. */
    public fun upstream(record: KeyedRecord): UpstreamEntry?
}
