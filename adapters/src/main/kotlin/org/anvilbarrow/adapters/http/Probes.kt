package org.anvilbarrow.adapters.http

/** State that the probes report. */
public fun interface Readiness {
    /** Returns why this process should get no requests now, or null if it should. */
    public fun notReadyBecause(): String?
}

/** Writes the metrics of this process in Prometheus' text format. */
public fun interface MetricsText {
    /** Returns the text. */
    public fun render(): String

    public companion object {
        /** Media type of the text. */
        public const val CONTENT_TYPE: String = "text/plain; version=0.0.4; charset=utf-8"
    }
}
