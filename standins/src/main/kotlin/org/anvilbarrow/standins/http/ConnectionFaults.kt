package org.anvilbarrow.standins.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Faults of a stand-in's connections. The default is no fault.
 *
 * `PUT /v1/faults` replaces all of them; fields that are left out get their default:
 * ```
 * {"down": "reset"}
 * {"addedLatencyMillis": 250}
 * {"silent": "open_connections"}
 * ```
 * The paths `/v1/faults` and `/v1/audit` work during every fault. While the data port refuses connections, they work
 * on the control port only, and the `PUT` that closes the data port gets an answer only on the control port.
 */
@Serializable
public data class ConnectionFaults(
    val down: DownMode = DownMode.NONE,
    /** Time that passes before a request is handled. */
    val addedLatencyMillis: Long = 0,
    /** Requests take effect, but their connection is reset instead of answered. */
    val loseAnswers: Boolean = false,
    /** Connections are closed after this many bytes of an answer's body; null means that answers are whole. */
    val cutAnswersAfterBytes: Long? = null,
    val silent: SilentMode = SilentMode.NONE,
) {
    init {
        require(addedLatencyMillis >= 0) { "addedLatencyMillis is $addedLatencyMillis, but must not be negative" }
        require(cutAnswersAfterBytes == null || cutAnswersAfterBytes >= 0) {
            "cutAnswersAfterBytes is $cutAnswersAfterBytes, but must not be negative"
        }
    }
}

/** How a stand-in is down. */
@Serializable
public enum class DownMode {
    @SerialName("none")
    NONE,

    /** Nothing listens on the data port; open connections are closed. */
    @SerialName("refuse")
    REFUSE,

    /** Connections are accepted and reset when a request arrives, which has no effect. */
    @SerialName("reset")
    RESET,
}

/** Which connections accept requests and never answer; a connection stays silent after the fault was switched off. */
@Serializable
public enum class SilentMode {
    @SerialName("none")
    NONE,

    /** Connections that are open when the fault is switched on; later ones work. */
    @SerialName("open_connections")
    OPEN_CONNECTIONS,

    /** Every connection on which a request arrives while the fault is on. */
    @SerialName("all_connections")
    ALL_CONNECTIONS,
}
