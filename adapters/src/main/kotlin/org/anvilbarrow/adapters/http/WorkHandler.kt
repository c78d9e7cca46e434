package org.anvilbarrow.adapters.http

import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.WorkRequest
import java.io.InputStream

/** Gets a request its one answer; called on a traffic thread, which blocks until the answer begins. */
public interface WorkHandler {
    /** Has [request] placed and run. */
    public fun handle(
        request: WorkRequest,
        body: RequestBody,
    ): CallerAnswer

    /** Told when the caller of [answer] left before it had read the whole answer. */
    public fun callerGone(answer: CallerAnswer.Streamed)
}

/** Body of a caller's request; [stream] can be read once. */
public class RequestBody(
    public val stream: InputStream,
    public val bytes: Long,
)

/** What a caller gets. */
public sealed interface CallerAnswer {
    /** A final outcome without an answer of an upstream. */
    public data class Final(
        val outcome: Outcome,
    ) : CallerAnswer

    /** The answer of an upstream; closing [body] ends the exchange. */
    public class Streamed(
        public val exchange: Long,
        public val status: Int,
        public val contentType: String?,
        public val body: InputStream,
    ) : CallerAnswer
}
