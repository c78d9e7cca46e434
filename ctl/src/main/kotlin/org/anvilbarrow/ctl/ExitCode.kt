package org.anvilbarrow.ctl

import org.anvilbarrow.protocol.resources.ResourceErrorCode

/** Exit codes of `anvilctl`; 0 is success and 1 a wrong command line. */
@Suppress("MagicNumber") // The entries name the numbers.
internal enum class ExitCode(
    val status: Int,
) {
    INVALID(2),
    NOT_FOUND(3),
    CONFLICT(4),
    UNKNOWN_OUTCOME(5),
    REFUSED(6),
    NO_SERVER(7),
    TOO_OLD(8),
    UNEXPECTED_ANSWER(9),
    ;

    companion object {
        fun of(error: ResourceErrorCode): ExitCode =
            when (error) {
                ResourceErrorCode.INVALID -> INVALID
                ResourceErrorCode.NOT_FOUND -> NOT_FOUND
                ResourceErrorCode.CONFLICT -> CONFLICT
                ResourceErrorCode.UNKNOWN_OUTCOME -> UNKNOWN_OUTCOME
                ResourceErrorCode.REFUSED -> REFUSED
                ResourceErrorCode.TOO_OLD -> TOO_OLD
            }
    }
}
