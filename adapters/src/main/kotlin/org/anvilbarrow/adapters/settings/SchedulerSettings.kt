package org.anvilbarrow.adapters.settings

import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.peer.PeerAddress
import org.anvilbarrow.protocol.model.SchedulerId
import java.time.Duration

/** Everything that a scheduler process is told at its start. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class SchedulerSettings(
    val id: SchedulerId,
    val region: String,
    val failureDomain: String,
    val caller: ListenAddress,
    val peer: ListenAddress,
    val peers: List<PeerAddress>,
    val logUrl: String,
    val vmListUrl: String,
    val callerLimits: CallerLimits = CallerLimits(),
    val process: ProcessLimits = ProcessLimits(),
    val logFormat: LogFormat = LogFormat.TEXT,
    val spans: SpanChoice = SpanChoice.SAMPLED,
)

/** An IP address or host name and a port to listen on; port 0 lets the system choose. */
public data class ListenAddress(
    val host: String,
    val port: Int,
)

/** How log lines are written. */
public enum class LogFormat {
    TEXT,
    JSON,
}

/** Which spans are written to the log. */
public enum class SpanChoice {
    NONE,

    /** Those of requests whose caller set the sampled flag in `traceparent`. */
    SAMPLED,
    ALL,
}

/** Bounds of the process around the kernel. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class ProcessLimits(
    /** Events that wait for the control thread. */
    val queuedEvents: Int = 16_384,
    /** Tasks that are started or watched at one time. */
    val taskThreads: Int = 256,
    /** Lease calls that are open at one time. */
    val leaseThreads: Int = 64,
    /** Interval of reading the log at its end. */
    val logPoll: Duration = Duration.ofSeconds(1),
    /** Interval of reading the VM list. */
    val vmListPoll: Duration = Duration.ofSeconds(1),
    /** How long a planned stop waits for requests in flight. */
    val stopGrace: Duration = Duration.ofMinutes(10),
)
