package org.anvilbarrow.adapters.http

/** HTTP headers of the caller interface. */
public object CallerHeaders {
    public const val REQUEST_ID: String = "Request-Id"

    /** RFC 3339 time by which the caller needs the answer. */
    public const val DEADLINE: String = "Request-Deadline"

    /** RFC 3339 time at which the caller issued the request id. */
    public const val ISSUED_AT: String = "Request-Issued-At"

    /** `first` if the caller states that it has sent no other copy of the id. */
    public const val ATTEMPT: String = "Request-Attempt"

    /** W3C trace context. */
    public const val TRACEPARENT: String = "traceparent"

    /** On every answer to a request: `answered`, `refused` or `unknown`. */
    public const val OUTCOME: String = "Anvilbarrow-Outcome"
}
