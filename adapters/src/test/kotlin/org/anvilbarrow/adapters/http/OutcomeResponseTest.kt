package org.anvilbarrow.adapters.http

import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.UnknownReason
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class OutcomeResponseTest {
    data class Case(
        val outcome: Outcome,
        val status: Int,
        val retryAfter: String?,
        val body: String,
    )

    /** Guards against a caller that cannot tell "did not run" from "may have run". */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an outcome says whether the request ran and when to come back`(case: Case) {
        val response = outcomeResponse(case.outcome)
        expectThat(response) {
            get { status.code }.isEqualTo(case.status)
            get { header("Retry-After") }.isEqualTo(case.retryAfter)
            get { bodyString() }.contains(case.body)
            get {
                header(
                    "Anvilbarrow-Outcome",
                )
            }.isEqualTo(if (case.outcome is Outcome.Refused) "refused" else "unknown")
        }
    }

    private companion object {
        @JvmStatic
        fun cases() =
            listOf(
                Case(
                    Outcome.Refused(RefusalReason.QUEUE_FULL, 1_001),
                    503,
                    "2",
                    """"reason":"queue_full","ran":false""",
                ),
                Case(Outcome.Refused(RefusalReason.UNKNOWN_WORKLOAD), 404, null, """"ran":false"""),
                Case(Outcome.Refused(RefusalReason.NEVER_FITS), 422, null, """"ran":false"""),
                Case(Outcome.Unknown(UnknownReason.DUPLICATE), 502, null, """"reason":"duplicate","ran":null"""),
                Case(Outcome.Unknown(UnknownReason.HOME_UNREACHABLE, 3_000), 504, "3", """"ran":null"""),
            )
    }
}
