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

/** Calls upstreams. */
public fun interface UpstreamCalls {
    /** Sends [order] once; the result never completes exceptionally. */
    public fun send(order: UpstreamOrder): CompletableFuture<UpstreamReport>
}

/** The service that knows which upstreams may run a step. */
public fun interface AdviceService {
    /** Returns the upstreams of [upstreams] that may run [step], or null if the call failed within [timeout]. */
    public fun advise(
        step: StepRef,
        upstreams: List<UpstreamId>,
        timeout: Duration,
    ): CompletableFuture<List<Ticket>?>
}

/** Topics of the platform that the product reads, and how their records are decoded. */
public interface PlatformCatalog {
    /** Topic with the operators' configuration; its only partition is 0. */
    public val operatorTopic: String

    /** Topic with the upstreams; its only partition is 0. */
    public val upstreamTopic: String

    /** Returns the configuration if [record] holds one that can be read. */
    public fun config(record: KeyedRecord): CellConfig?

    /** Returns the upstream if [record] holds one that can be used. */
    public fun upstream(record: KeyedRecord): UpstreamEntry?
}
