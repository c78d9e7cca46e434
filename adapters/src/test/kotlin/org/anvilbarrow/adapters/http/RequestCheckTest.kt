package org.anvilbarrow.adapters.http

import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

class RequestCheckTest {
    private val check = RequestCheck(CallerLimits(maxBodyBytes = 1_000))

    private val valid =
        Request(Method.POST, "/v1/workloads/map-tiles/requests")
            .header("Request-Id", "a-1")
            .header("Request-Issued-At", "2026-08-07T10:00:00Z")
            .header("Request-Deadline", "2026-08-07T13:00:05.250+03:00")
            .header("Content-Length", "10")

    private data class Case(
        val name: String,
        val request: Request,
        val status: Int,
        val field: String,
        val seen: String?,
        val workload: String = "map-tiles",
    )

    /** Guards against a malformed request that reaches the kernel, or an error that does not say what to change. */
    @TestFactory
    fun `a malformed request is refused with the field and the value seen`() =
        listOf(
            Case("no id", valid.removeHeader("Request-Id"), 400, "Request-Id", null),
            Case("two ids", valid.header("Request-Id", "b"), 400, "Request-Id", "2 values: a-1, b"),
            Case("empty id", valid.replaceHeader("Request-Id", ""), 400, "Request-Id", ""),
            Case("id with a space", valid.replaceHeader("Request-Id", "a b"), 400, "Request-Id", "a b"),
            Case(
                "long id",
                valid.replaceHeader("Request-Id", "x".repeat(129)),
                400,
                "Request-Id",
                "x".repeat(80) + "... (129 characters)",
            ),
            Case("no deadline", valid.removeHeader("Request-Deadline"), 400, "Request-Deadline", null),
            Case(
                "local time",
                valid.replaceHeader("Request-Issued-At", "2026-08-07T10:00"),
                400,
                "Request-Issued-At",
                "2026-08-07T10:00",
            ),
            Case(
                "deadline before issue",
                valid.replaceHeader("Request-Deadline", "2026-08-07T09:00:00Z"),
                400,
                "Request-Deadline",
                "2026-08-07T09:00:00Z",
            ),
            Case(
                "deadline too late",
                valid.replaceHeader("Request-Deadline", "2026-08-17T10:00:00Z"),
                400,
                "Request-Deadline",
                "2026-08-17T10:00:00Z",
            ),
            Case("unknown attempt", valid.header("Request-Attempt", "second"), 400, "Request-Attempt", "second"),
            Case("workload name", valid, 400, "workload", "Map_Tiles", workload = "Map_Tiles"),
            Case("long body", valid.replaceHeader("Content-Length", "1001"), 413, "body", "1001 bytes"),
            Case(
                "body of unknown length",
                valid.removeHeader("Content-Length").header("Transfer-Encoding", "chunked"),
                411,
                "body",
                "Transfer-Encoding: chunked",
            ),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(check.check(case.workload, case.request)).isA<CheckedRequest.Faulty>().and {
                    get { status.code }.isEqualTo(case.status)
                    get { faults }.hasSize(1)
                    get { faults.first().field }.isEqualTo(case.field)
                    get { faults.first().seen }.isEqualTo(case.seen)
                }
            }
        }

    /** Guards against errors that are told one at a time. */
    @TestFactory
    fun `all faults are reported at once`() =
        listOf(
            DynamicTest.dynamicTest("nothing is set") {
                expectThat(check.check("", Request(Method.POST, "/")))
                    .isA<CheckedRequest.Faulty>()
                    .get { faults }
                    .hasSize(4)
            },
        )

    /** Guards against times read in another zone, and against a trace that breaks a valid request. */
    @TestFactory
    fun `a valid request is understood`() =
        listOf(
            DynamicTest.dynamicTest("offsets, attempt and trace") {
                val request = valid.header("Request-Attempt", "first").header("traceparent", "broken")
                expectThat(check.check("map-tiles", request)).isA<CheckedRequest.Accepted>().and {
                    get { this.request.bodyBytes }.isEqualTo(10)
                    get { this.request.deadlineEpochMillis - this.request.issuedAtEpochMillis }.isEqualTo(5_250)
                    get { this.request.firstAttempt }.isTrue()
                    get { this.request.traceparent }.isNull()
                }
            },
        )
}
